package dev.caroblb.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Chooses the target with the lowest expected cost in time: risk that its memory fills, queue and
 * batch delay, minus what a cached prefix saves. When every target would exceed the risk limit, the
 * call waits.
 */
public final class PredictivePolicy implements PlacementPolicy {
  private static final int SHORTLIST_SIZE = 16;
  private static final double AVOIDED_DOMAIN_COST_MS = 60_000;
  // A call expected to be shorter is never held back: it takes little memory for a short time, and
  // the engine's queue serves it by priority.
  private static final double SHORT_CALL_TOKENS = 64;

  // Parts of the allowed time that are left when the limit starts to rise, and when it is 1.
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
    SurvivalCurve curve = lengths.curve(request.kind(), request.callName(), request.workspace());
    double blocks = 1 + request.prompt().tokens() / (double) PredictiveSettings.BLOCK_TOKENS;
    boolean shortCall = curve.expectedRemaining(0) < SHORT_CALL_TOKENS;
    double maxRisk = shortCall ? 1 : maxRisk(request, nowMs);
    OtherInstances others = otherInstances(request.kind());
    int targetCount = fleet.serving(request.kind()).size();
    double othersPerOwn = shortCall ? 0 : others.longCallsPerOwn(targetCount, nowMs);
    callForecast.clear();
    callForecast.add(1.0, blocks, curve);
    int candidates = shortlist(fleet.serving(request.kind()));
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
   * The risk limit of a long call, rising to 1 while its deadline comes nearer: a call that is
   * preempted late may still end in time, one that waits on will not.
   */
  private double maxRisk(PlacementRequest request, long nowMs) {
    double urgency =
        (URGENCY_START_SLACK - request.slack(nowMs)) / (URGENCY_START_SLACK - URGENCY_FULL_SLACK);
    double clamped = Math.max(0, Math.min(1, urgency));
    return settings.maxRisk() + clamped * (1 - settings.maxRisk());
  }

  /** Eligible targets, only those of lowest cost before the call when there are many. */
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

  /** Expected cost in milliseconds; {@code Double.MAX_VALUE} when the call must not go there. */
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

  /** One of the candidates that are about as good as the best, so that instances spread. */
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
   * Priority of the team file first; a retried call is preempted after first attempts. Expected
   * length is left out: it also orders the engine's queue, where it let later calls pass preempted
   * ones.
   */
  private static int enginePriority(PlacementRequest request) {
    int retried = request.attempt() > 0 ? LengthBuckets.COUNT : 0;
    return request.priority() * 100 + retried;
  }

  @Override
  public void placed(Generation generation, long nowMs) {
    PlacementRequest request = generation.request();
    otherInstances(request.kind()).placed(nowMs);
    SurvivalCurve curve = lengths.curve(request.kind(), request.callName(), request.workspace());
    if (curve.expectedRemaining(0) >= SHORT_CALL_TOKENS) {
      generation.target().forecast.countLongPlacement();
      otherInstances(request.kind()).recordLongCall(true);
    }
    updateForecast(generation.target(), nowMs);
  }

  @Override
  public void declined(PlacementRequest request, long nowMs) {
    // Short calls are declined only where no target is eligible, which says nothing about room.
    otherInstances(request.kind()).recordLongCall(false);
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
    for (String kind : target.view().serves()) {
      otherInstances(kind).reported(target.running().size(), target.othersRunning());
    }
    updateForecast(target, nowMs);
  }

  @Override
  public void tick(long nowMs) {
    lengths.refresh();
    for (List<Target> targets : fleet.targetsByKind()) {
      for (Target target : targets) {
        updateForecast(target, nowMs);
      }
    }
  }

  private void updateForecast(Target target, long nowMs) {
    if (target.view().serves().isEmpty()) {
      return;
    }
    String kind = target.view().serves().get(0);
    forecaster.update(
        target, kind, otherInstances(kind), fleet.serving(kind).size(), settings, nowMs);
  }

  private OtherInstances otherInstances(String kind) {
    return otherInstances.computeIfAbsent(kind, key -> new OtherInstances());
  }
}
