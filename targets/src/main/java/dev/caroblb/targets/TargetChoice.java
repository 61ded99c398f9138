package dev.caroblb.targets;

import dev.caroblb.core.FailureDomain;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/**
 * Chooses among candidates by load and by expected times, from the learned speeds of targets.
 * Without learned speeds, and among targets of usual speed, load alone decides.
 */
final class TargetChoice {
  /**
   * Penalty, in tokens of load, for a copy to another failure domain. It takes twice as long, which
   * pays off for a generation of usual size only if the engines nearby are much busier.
   */
  private static final double REMOTE_COPY_PENALTY_TOKENS = 10_000;

  /** Part of the latency objective that a choice within the failure domain may cost. */
  private static final double DOMAIN_FRACTION = 0.02;

  /**
   * Least time in milliseconds that a choice within the failure domain may cost. The objective that
   * is left may be 0, and traffic between domains is expensive for late requests as well.
   */
  private static final double MIN_DOMAIN_MS = 10;

  /**
   * Tolerance, in tokens of load, for a target of the own failure domain while the time per prompt
   * token is not known. It corresponds to a small fraction of one request.
   */
  private static final double UNKNOWN_DOMAIN_TOKENS = 400;

  /**
   * Maximum tolerance in tokens of load, about a third of an engine's memory. Load differs between
   * domains also by tokens in memory, which delay no first event but cause preemptions.
   */
  private static final double MAX_DOMAIN_TOKENS = 10_000;

  /** Load that breaks ties for targets of other domains. */
  private static final double TIE = 0.5;

  private final TargetLoads loads;
  private final TargetSpeeds speeds;

  TargetChoice(TargetLoads loads, TargetSpeeds speeds) {
    this.loads = loads;
    this.speeds = speeds;
  }

  TargetSpeeds speeds() {
    return speeds;
  }

  /**
   * The candidates without those that are slow and expected to miss an objective of the request, as
   * long as one that remains has room; otherwise all candidates.
   */
  List<Target> inTime(List<Target> candidates, PlacementNeed need, long nowMs) {
    List<Target> inTime = new ArrayList<>();
    boolean room = false;
    for (Target candidate : candidates) {
      if (meetsObjectives(candidate, need, nowMs)) {
        inTime.add(candidate);
        room = room || loads.freeTokens(candidate, nowMs) >= need.tokens();
      }
    }
    return room ? inTime : candidates;
  }

  private boolean meetsObjectives(Target target, PlacementNeed need, long nowMs) {
    Optional<TargetSpeed> speed = slowSpeed(target, need, nowMs);
    if (speed.isEmpty()) {
      return true;
    }
    TargetLoad load = loads.total(target, nowMs);
    boolean paused =
        need.eventGapObjectiveMs() > 0
            && speed.get().pauseMs(load.requests() + 1) > need.eventGapObjectiveMs();
    // A request that is late anyway may use a slow target.
    boolean late =
        need.purpose() == PlacementNeed.Purpose.START
            && need.objectiveMs() > 0
            && speed.get().firstEventMs(load.prefillTokens() + need.promptTokens())
                > need.objectiveMs();
    return !paused && !late;
  }

  private Optional<TargetSpeed> slowSpeed(Target target, PlacementNeed need, long nowMs) {
    return need.tokens() == 0
        ? Optional.empty()
        : speeds
            .at(target.info().run(), nowMs)
            .filter(speed -> speed.permille() < TargetSpeed.USUAL);
  }

  /** Load of a target for a request, in tokens, weighted by the time that it takes there. */
  private double score(Target target, PlacementNeed need, long nowMs) {
    double load = loads.score(target, need.tokens(), nowMs);
    if (need.tokens() == 0) {
      return load;
    }
    return speeds
        .at(target.info().run(), nowMs)
        .filter(speed -> !speed.usual())
        // The request itself takes longer too; without it, all idle targets would look equal.
        .map(speed -> (load + need.tokens()) * speed.slowness() - need.tokens())
        .orElse(load);
  }

  /**
   * Chooses the least loaded target; one of the preferred domain if it is hardly worse. A slow
   * target is worse by more than the tolerance and gets no preference.
   */
  Optional<Target> nearest(List<Target> candidates, PlacementNeed need, long nowMs) {
    double tolerance = domainTolerance(candidates, need, nowMs);
    return leastLoaded(
        candidates,
        need,
        target ->
            inDomain(target, need.preferredDomain()) && slowSpeed(target, need, nowMs).isEmpty()
                ? 0
                : tolerance,
        nowMs);
  }

  /** Chooses the destination of a copy, which is faster within a failure domain. */
  Optional<Target> copyDestination(
      List<Target> candidates, PlacementNeed need, FailureDomain source, long nowMs) {
    return leastLoaded(
        candidates,
        need,
        target -> inDomain(target, source) ? 0 : REMOTE_COPY_PENALTY_TOKENS + TIE,
        nowMs);
  }

  private static boolean inDomain(Target target, FailureDomain domain) {
    return target.info().domain().equals(domain);
  }

  private Optional<Target> leastLoaded(
      List<Target> candidates,
      PlacementNeed need,
      ToDoubleFunction<Target> addedLoad,
      long nowMs) {
    Optional<Target> best = Optional.empty();
    double bestLoad = Double.MAX_VALUE;
    for (Target candidate : inTime(candidates, need, nowMs)) {
      double load = score(candidate, need, nowMs) + addedLoad.applyAsDouble(candidate);
      if (load < bestLoad) {
        best = Optional.of(candidate);
        bestLoad = load;
      }
    }
    return best;
  }

  /** Load by which a target of the preferred domain may exceed that of a target elsewhere. */
  private double domainTolerance(List<Target> candidates, PlacementNeed need, long nowMs) {
    if (need.tokens() == 0) {
      return TIE;
    }
    double toleranceMs = Math.max(MIN_DOMAIN_MS, DOMAIN_FRACTION * need.objectiveMs());
    for (Target candidate : candidates) {
      Optional<TargetSpeed> speed = speeds.at(candidate.info().run(), nowMs);
      if (speed.filter(known -> known.promptTokenMicros() > 0).isPresent()) {
        double promptTokens = 1_000 * toleranceMs / speed.get().promptTokenMicros();
        return Math.min(MAX_DOMAIN_TOKENS, TargetLoads.PREFILL_WEIGHT * promptTokens);
      }
    }
    return UNKNOWN_DOMAIN_TOKENS;
  }
}
