package dev.caroblb.targets;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.routing.EngineLimits;
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
   * Chooses the least loaded target, or one of the preferred domain that is hardly worse: by a
   * tolerance in load, or, while it has memory to spare, by a tolerance in the expected time to the
   * first event. A slow target is worse by more than that and gets no preference.
   */
  Optional<Target> nearest(List<Target> candidates, PlacementNeed need, long nowMs) {
    FailureDomain domain = need.preferredDomain();
    long promptTokenMicros = promptTokenMicros(candidates, nowMs);
    double tolerance = domainTolerance(need, promptTokenMicros);
    Optional<Target> best =
        leastLoaded(
            candidates,
            need,
            target ->
                inDomain(target, domain) && slowSpeed(target, need, nowMs).isEmpty()
                    ? 0
                    : tolerance,
            nowMs);
    boolean settled = best.filter(target -> !inDomain(target, domain)).isEmpty();
    if (settled || need.tokens() == 0 || promptTokenMicros == 0) {
      return best;
    }
    List<Target> spare = new ArrayList<>(candidates);
    spare.removeIf(target -> !inDomain(target, domain) || !hasSpareMemory(target, need, nowMs));
    Optional<Target> near = leastLoaded(spare, need, target -> 0, nowMs);
    return near.filter(target -> asSoon(target, best.get(), need, promptTokenMicros, nowMs))
        .or(() -> best);
  }

  /** Whether a usual target has room for a request and stays below the nearly full fraction. */
  private boolean hasSpareMemory(Target target, PlacementNeed need, long nowMs) {
    Optional<EngineLimits> limits = loads.limits(need.service());
    if (limits.isEmpty() || slowSpeed(target, need, nowMs).isPresent()) {
      return false;
    }
    TargetLoad load = loads.total(target, nowMs);
    return load.requests() < limits.get().slots()
        && load.tokens() + need.tokens()
            <= TargetLoads.NEARLY_FULL_FRACTION * limits.get().memoryTokens();
  }

  /** Whether the first event at a target is expected hardly later than at another. */
  private boolean asSoon(
      Target target, Target other, PlacementNeed need, long promptTokenMicros, long nowMs) {
    double laterMs =
        firstEventMs(target, need, promptTokenMicros, nowMs)
            - firstEventMs(other, need, promptTokenMicros, nowMs);
    return laterMs <= domainToleranceMs(need);
  }

  private double firstEventMs(
      Target target, PlacementNeed need, long promptTokenMicros, long nowMs) {
    long promptTokens = loads.total(target, nowMs).prefillTokens() + need.promptTokens();
    double slowness = speeds.at(target.info().run(), nowMs).map(TargetSpeed::slowness).orElse(1.0);
    return slowness * promptTokens * promptTokenMicros / 1_000;
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
      List<Target> candidates, PlacementNeed need, ToDoubleFunction<Target> addedLoad, long nowMs) {
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

  /** Time per prompt token at a usual target, known with any candidate; 0 if not known. */
  private long promptTokenMicros(List<Target> candidates, long nowMs) {
    for (Target candidate : candidates) {
      Optional<TargetSpeed> speed = speeds.at(candidate.info().run(), nowMs);
      if (speed.isPresent() && speed.get().promptTokenMicros() > 0) {
        return speed.get().promptTokenMicros();
      }
    }
    return 0;
  }

  /** Load by which a target of the preferred domain may exceed that of a target elsewhere. */
  private static double domainTolerance(PlacementNeed need, long promptTokenMicros) {
    if (need.tokens() == 0) {
      return TIE;
    }
    if (promptTokenMicros == 0) {
      return UNKNOWN_DOMAIN_TOKENS;
    }
    double promptTokens = 1_000 * domainToleranceMs(need) / promptTokenMicros;
    return Math.min(MAX_DOMAIN_TOKENS, TargetLoads.PREFILL_WEIGHT * promptTokens);
  }

  private static double domainToleranceMs(PlacementNeed need) {
    return Math.max(MIN_DOMAIN_MS, DOMAIN_FRACTION * need.objectiveMs());
  }
}
