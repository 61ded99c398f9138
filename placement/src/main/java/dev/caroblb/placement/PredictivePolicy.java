package dev.caroblb.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Chooses the target with the lowest expected cost in milliseconds: the risk that its memory fills
 * up, plus queueing and batching delay, minus the time that a cached prefix saves. The call waits
 * when every target exceeds the risk limit.
 */
public final class PredictivePolicy implements PlacementPolicy {
  private static final int SHORTLIST_SIZE = 16;
  private static final double AVOIDED_DOMAIN_COST_MS = 60_000;
  // Calls expected to be shorter are exempt from the risk limit: they hold little memory briefly,
  // and the engine queues them by priority.
  private static final double SHORT_CALL_TOKENS = 64;

  // Fractions of the allowed time left when the risk limit starts to rise and when it reaches 1.
  private static final double URGENCY_START_SLACK = 0.7;
  private static final double URGENCY_FULL_SLACK = 0.4;

  private final Fleet fleet;
  private final PredictiveSettings settings;
  private final LengthEstimator lengths;
  private final TargetForecaster forecaster;
  private final SplittableRandom random;
  private final Map<String, OtherInstances> otherInstances = new HashMap<>();
  private final Forecast callForecast = new Forecast();
  private final Target[] shortlist = new Target[SHORTLIST_SIZE];
  private final double[] costs = new double[SHORTLIST_SIZE];

  public PredictivePolicy(Fleet fleet, PredictiveSettings settings, long seed) {
    this.fleet = fleet;
    this.settings = settings;
    this.lengths = new PooledLengthEstimator();
    this.forecaster = new TargetForecaster(lengths);
    this.random = new SplittableRandom(seed);
  }

  @Override
  public Optional<Placement> place(PlacementRequest request, long nowMs) {
    SurvivalCurve curve =
        lengths.curve(request.modelOrService(), request.callName(), request.workspace());
    double blocks = 1 + request.prompt().tokens() / (double) PredictiveSettings.BLOCK_TOKENS;
    boolean shortCall = curve.expectedRemaining(0) < SHORT_CALL_TOKENS;
    double maxRisk = shortCall ? 1 : maxRisk(request, nowMs);
    OtherInstances others = otherInstances(request.modelOrService());
    int targetCount = fleet.serving(request.modelOrService()).size();
    double othersPerOwn = shortCall ? 0 : others.longCallsPerOwn(targetCount, nowMs);
    callForecast.clear();
    callForecast.addNewCalls(1.0, blocks, curve);
    int candidates = shortlist(fleet.serving(request.modelOrService()));
    double best = Double.MAX_VALUE;
    for (int i = 0; i < candidates; i++) {
      costs[i] = cost(shortlist[i], request, maxRisk, othersPerOwn);
      best = Math.min(best, costs[i]);
    }
    if (best == Double.MAX_VALUE) {
      return Optional.empty();
    }
    return Optional.of(pick(candidates, best).placement(enginePriority(request)));
  }

  /**
   * Risk limit of a long call. It rises to 1 as the deadline approaches: a call that is started and
   * preempted may still end in time, a call that keeps waiting will not.
   */
  private double maxRisk(PlacementRequest request, long nowMs) {
    double urgency =
        (URGENCY_START_SLACK - request.slack(nowMs)) / (URGENCY_START_SLACK - URGENCY_FULL_SLACK);
    double clamped = Math.max(0, Math.min(1, urgency));
    return settings.maxRisk() + clamped * (1 - settings.maxRisk());
  }

  /** Fills the shortlist with the eligible targets of lowest base cost and returns its size. */
  private int shortlist(List<Target> targets) {
    int size = 0;
    int start = targets.isEmpty() ? 0 : random.nextInt(targets.size());
    for (int n = 0; n < targets.size(); n++) {
      int index = start + n;
      Target target = targets.get(index < targets.size() ? index : index - targets.size());
      double cost = target.forecast.baseCostMs();
      if ((size == SHORTLIST_SIZE && cost >= costs[size - 1]) || !target.eligible()) {
        continue;
      }
      int position = size == SHORTLIST_SIZE ? SHORTLIST_SIZE - 1 : size++;
      for (; position > 0 && costs[position - 1] > cost; position--) {
        costs[position] = costs[position - 1];
        shortlist[position] = shortlist[position - 1];
      }
      costs[position] = cost;
      shortlist[position] = target;
    }
    return size;
  }

  /** Expected cost in milliseconds; {@code Double.MAX_VALUE} when the risk is too high. */
  private double cost(
      Target target, PlacementRequest request, double maxRisk, double othersPerOwn) {
    double totalBlocks = target.forecast.totalBlocks();
    double risk =
        totalBlocks == 0
            ? 0
            : target.forecast.risk(
                totalBlocks, callForecast, target.forecast.competingCalls(othersPerOwn));
    if (risk > maxRisk && !target.forecast.idle()) {
      return Double.MAX_VALUE;
    }
    double cost = target.forecast.baseCostMs() + risk * settings.riskCostMs();
    if (request.prompt().prefix() != 0) {
      double cached = target.prefixes.cachedProbability(request.prompt().prefix());
      cost -= cached * request.prompt().prefixTokens() * settings.prefillMsPerToken();
    }
    boolean avoided = request.avoid().isPresent() && request.avoid().get().equals(target.domain());
    return avoided ? cost + AVOIDED_DOMAIN_COST_MS : cost;
  }

  /** Picks at random among near-equal candidates, so that instances choose different targets. */
  private Target pick(int candidates, double best) {
    Target chosen = shortlist[0];
    int ties = 0;
    for (int i = 0; i < candidates; i++) {
      if (costs[i] <= best + settings.tieMs() && random.nextInt(++ties) == 0) {
        chosen = shortlist[i];
      }
    }
    return chosen;
  }

  /**
   * Priority of the team file; at equal priority, first attempts are preempted before retries. The
   * expected length is left out: the engine also orders its queue by this number, and with the
   * length included, later calls overtook preempted ones.
   */
  private static int enginePriority(PlacementRequest request) {
    int retried = request.attempt() > 0 ? LengthBuckets.COUNT : 0;
    return request.priority() * 100 + retried;
  }

  @Override
  public void placed(Generation generation, long nowMs) {
    PlacementRequest request = generation.request();
    otherInstances(request.modelOrService()).placed(nowMs);
    SurvivalCurve curve =
        lengths.curve(request.modelOrService(), request.callName(), request.workspace());
    if (curve.expectedRemaining(0) >= SHORT_CALL_TOKENS) {
      generation.target().forecast.countLongPlacement();
      otherInstances(request.modelOrService()).recordLongCall(true);
    }
    updateForecast(generation.target(), nowMs);
  }

  @Override
  public void declined(PlacementRequest request, long nowMs) {
    // Short calls are declined only if no target is eligible, which says nothing about capacity.
    otherInstances(request.modelOrService()).recordLongCall(false);
  }

  @Override
  public void progressed(Generation generation, int previousTokens, long nowMs) {
    lengths.grew(generation.request(), previousTokens, generation.tokens());
  }

  @Override
  public void finished(Generation generation, int previousTokens, long nowMs) {
    lengths.ended(generation.request(), previousTokens, generation.tokens());
    updateForecast(generation.target(), nowMs);
  }

  @Override
  public void failed(Generation generation, CallFailure failure, long nowMs) {
    updateForecast(generation.target(), nowMs);
  }

  @Override
  public void reported(Target target, long nowMs) {
    target.forecast.startReportInterval(random.nextDouble());
    for (String modelOrService : target.view().serves()) {
      otherInstances(modelOrService).reported(target.running().size(), target.othersRunning());
    }
    updateForecast(target, nowMs);
  }

  @Override
  public void tick(long nowMs) {
    lengths.refresh();
    for (List<Target> targets : fleet.targetsByModelOrService()) {
      for (Target target : targets) {
        updateForecast(target, nowMs);
      }
    }
  }

  private void updateForecast(Target target, long nowMs) {
    if (target.view().serves().isEmpty()) {
      return;
    }
    String modelOrService = target.view().serves().get(0);
    forecaster.update(
        target,
        modelOrService,
        otherInstances(modelOrService),
        fleet.serving(modelOrService).size(),
        settings,
        nowMs);
  }

  private OtherInstances otherInstances(String modelOrService) {
    return otherInstances.computeIfAbsent(modelOrService, key -> new OtherInstances());
  }
}
