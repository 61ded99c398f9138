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
  private static final int SHORTLIST = 16;
  private static final double AVOIDED_DOMAIN_COST_MS = 60_000;
  // A call expected to be shorter is never held back: it takes little memory for a short time, and
  // the engine's queue serves it by priority.
  private static final double SHORT_TOKENS = 64;

  // Parts of the allowed time that are left when the limit starts to rise, and when it is 1.
  private static final double RELAXED_SLACK = 0.7;
  private static final double URGENT_SLACK = 0.4;

  private final Fleet fleet;
  private final PredictiveSettings settings;
  private final LengthEstimator lengths;
  private final TargetForecaster forecaster;
  private final SplittableRandom random;
  private final Map<String, OtherInstances> others = new HashMap<>();
  private final Forecast call = new Forecast();
  private final Target[] shortlist = new Target[SHORTLIST];
  private final double[] costs = new double[SHORTLIST];

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
    boolean shortCall = curve.expectedRemaining(0) < SHORT_TOKENS;
    double maxRisk = shortCall ? 1 : maxRisk(request, nowMs);
    OtherInstances rest = others(request.kind());
    int alike = fleet.serving(request.kind()).size();
    double rivals = shortCall ? 0 : rest.rivals(alike, nowMs);
    call.clear();
    call.add(1.0, blocks, curve);
    int candidates = shortlist(fleet.serving(request.kind()));
    double best = Double.MAX_VALUE;
    for (int i = 0; i < candidates; i++) {
      costs[i] = cost(shortlist[i], request, maxRisk, rivals);
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
    double urgency = (RELAXED_SLACK - request.slack(nowMs)) / (RELAXED_SLACK - URGENT_SLACK);
    double pressed = Math.max(0, Math.min(1, urgency));
    return settings.maxRisk() + pressed * (1 - settings.maxRisk());
  }

  /** Eligible targets, only those of lowest cost before the call when there are many. */
  private int shortlist(List<Target> targets) {
    int size = 0;
    int start = targets.isEmpty() ? 0 : random.nextInt(targets.size());
    for (int n = 0; n < targets.size(); n++) {
      int index = start + n;
      Target target = targets.get(index < targets.size() ? index : index - targets.size());
      double cost = target.forecast.baseCostMs();
      if ((size == SHORTLIST && cost >= costs[size - 1]) || !target.eligible()) {
        continue;
      }
      int at = size == SHORTLIST ? SHORTLIST - 1 : size++;
      for (; at > 0 && costs[at - 1] > cost; at--) {
        costs[at] = costs[at - 1];
        shortlist[at] = shortlist[at - 1];
      }
      costs[at] = cost;
      shortlist[at] = target;
    }
    return size;
  }

  /** Expected cost in milliseconds; {@code Double.MAX_VALUE} when the call must not go there. */
  private double cost(Target target, PlacementRequest request, double maxRisk, double rivals) {
    double totalBlocks = target.forecast.totalBlocks();
    double risk =
        totalBlocks == 0
            ? 0
            : target.forecast.risk(totalBlocks, call, target.forecast.crowd(rivals));
    if (risk > maxRisk && !target.forecast.idle()) {
      return Double.MAX_VALUE;
    }
    double cost = target.forecast.baseCostMs() + risk * settings.riskCostMs();
    if (request.prompt().prefix() != 0) {
      double cached = target.prefixes.trust(request.prompt().prefix());
      cost -= cached * request.prompt().prefixTokens() * settings.prefillMsPerToken();
    }
    boolean avoided = request.avoid().isPresent() && request.avoid().get().equals(target.domain());
    return avoided ? cost + AVOIDED_DOMAIN_COST_MS : cost;
  }

  /** One of the candidates that are about as good as the best, so that instances spread. */
  private Target pick(int candidates, double best) {
    Target chosen = shortlist[0];
    int close = 0;
    for (int i = 0; i < candidates; i++) {
      if (costs[i] <= best + settings.tieMs() && random.nextInt(++close) == 0) {
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
    others(request.kind()).placed(nowMs);
    SurvivalCurve curve = lengths.curve(request.kind(), request.callName(), request.workspace());
    if (curve.expectedRemaining(0) >= SHORT_TOKENS) {
      generation.target().forecast.claimed();
      others(request.kind()).tried(true);
    }
    forecast(generation.target(), nowMs);
  }

  @Override
  public void declined(PlacementRequest request, long nowMs) {
    // Short calls are declined only where no target is eligible, which says nothing about room.
    others(request.kind()).tried(false);
  }

  @Override
  public void progressed(Generation generation, int previousTokens, long nowMs) {
    lengths.grew(generation.request(), previousTokens, generation.tokens());
  }

  @Override
  public void finished(Generation generation, int previousTokens, long nowMs) {
    lengths.ended(generation.request(), previousTokens, generation.tokens());
    forecast(generation.target(), nowMs);
  }

  @Override
  public void failed(Generation generation, CallFailure failure, long nowMs) {
    forecast(generation.target(), nowMs);
  }

  @Override
  public void reported(Target target, long nowMs) {
    target.forecast.reported(random.nextDouble());
    for (String kind : target.view().serves()) {
      others(kind).reported(target.running().size(), target.othersRunning());
    }
    forecast(target, nowMs);
  }

  @Override
  public void tick(long nowMs) {
    lengths.refresh();
    for (List<Target> targets : fleet.kinds()) {
      for (Target target : targets) {
        forecast(target, nowMs);
      }
    }
  }

  private void forecast(Target target, long nowMs) {
    if (target.view().serves().isEmpty()) {
      return;
    }
    String kind = target.view().serves().get(0);
    forecaster.update(target, kind, others(kind), fleet.serving(kind).size(), settings, nowMs);
  }

  private OtherInstances others(String kind) {
    return others.computeIfAbsent(kind, key -> new OtherInstances());
  }
}
