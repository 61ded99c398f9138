package dev.caroblb.forwarding;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.TargetId;
import dev.caroblb.routing.EngineLimits;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/** The known targets, and the selection of a target of a service. */
final class TargetPool {
  /**
   * Weight of a prompt token whose prefill is pending, relative to a token in memory. Prefill
   * delays concurrent requests immediately, memory use only when memory is full.
   */
  private static final double PREFILL_WEIGHT = 20;

  /**
   * Penalty, in tokens of load, for a copy to another failure domain. It takes twice as long, which
   * pays off for a generation of usual size only if the engines nearby are much busier.
   */
  private static final double REMOTE_COPY_PENALTY_TOKENS = 10_000;

  /**
   * Fraction of an engine's memory up to which it takes backups. Backups take memory from requests
   * that would run there.
   */
  private static final double MAX_BACKUP_ENGINE_FRACTION = 0.7;

  /**
   * Fraction of the memory of all engines of a service up to which backups are made. Backups double
   * the memory of generations, so the load of a single engine shows too late that all fill up.
   */
  private static final double MAX_BACKUP_SERVICE_FRACTION = 0.8;

  /**
   * Fraction of an engine's memory above which its load is weighted more. Expected sizes of running
   * requests are uncertain, and an engine preempts requests when its memory is full.
   */
  private static final double NEARLY_FULL_FRACTION = 0.85;

  private static final double NEARLY_FULL_WEIGHT = 20;

  /** Maximum number of targets excluded by a placement request, to keep the message small. */
  private static final int MAX_EXCLUDED = 32;

  /**
   * Fraction of an engine's memory that expected sizes may add up to before requests are queued.
   * Not all generations reach their largest size at the same time.
   */
  private static final double ADMITTED_FRACTION = 1.0;

  /**
   * Number of candidates sampled for a request by all instances together. Load that others added in
   * the last tenths of a second is not known yet, so with many instances the least loaded target
   * would get the requests of all of them. With few instances, a choice among all targets causes
   * fewer preemptions.
   */
  private static final int CANDIDATES_OF_ALL_INSTANCES = 300;

  private static final int MIN_CANDIDATES = 4;

  /**
   * Number of candidates sampled for a move that an instance places itself. All generations of an
   * engine are moved at the same time by instances that do not know of each other's moves; the
   * least loaded engine would get them all.
   */
  static final int OWN_MOVE_CANDIDATES = 2;

  /** Number of candidates for a move that a control instance places, which knows all moves. */
  static final int ALL_MOVE_CANDIDATES = Integer.MAX_VALUE;

  private final RandomGenerator random;
  private final Map<TargetId, Target> targets = new HashMap<>();
  private final List<RemoteLoad> remoteLoads;
  private int instances = 1;
  private Map<String, EngineLimits> engineLimits = Map.of();

  /**
   * @param remoteLoads sources of the load of other instances
   */
  TargetPool(RandomGenerator random, List<RemoteLoad> remoteLoads) {
    this.random = random;
    this.remoteLoads = List.copyOf(remoteLoads);
  }

  /** Adds a target or a new run of it; a repeated announcement has no effect. */
  void available(TargetInfo info) {
    Target known = targets.get(info.id());
    if (known != null && known.info().equals(info)) {
      return;
    }
    targets.put(info.id(), new Target(info));
  }

  /** Marks a target as leaving; returns empty if this run is unknown or already marked. */
  Optional<Target> leaving(TargetId id, long incarnation, long nowMs) {
    Target known = targets.get(id);
    if (known == null || known.info().incarnation() != incarnation || known.leaving()) {
      return Optional.empty();
    }
    known.markLeaving(nowMs);
    return Optional.of(known);
  }

  void gone(TargetId id, long incarnation) {
    Target known = targets.get(id);
    if (known != null && known.info().incarnation() == incarnation) {
      targets.remove(id);
    }
  }

  /**
   * Load of this instance on each engine that runs its generations. Requests of plain services are
   * not reported: they end before the report arrives, and when they were reported, all instances
   * chose the same target of a service at the same time.
   */
  List<TargetLoad> ownLoads() {
    List<TargetLoad> loads = new ArrayList<>();
    for (Target target : targets.values()) {
      if (target.hasTokens()) {
        loads.add(target.load());
      }
    }
    loads.sort((a, b) -> a.target().name().compareTo(b.target().name()));
    return loads;
  }

  /** Sets the number of instances that choose targets, including this one. */
  void setInstances(int count) {
    instances = Math.max(1, count);
  }

  /** Sets the limits of the engines of each service. */
  void setEngineLimits(Map<String, EngineLimits> limitsByService) {
    engineLimits = Map.copyOf(limitsByService);
  }

  /**
   * Targets of a service that a control instance must not choose for this instance, at most {@link
   * #MAX_EXCLUDED}: those that want no requests from it, and penalized ones.
   */
  Set<TargetId> excluded(String service, long nowMs) {
    Set<TargetId> excluded = new HashSet<>();
    for (Target target : targets.values()) {
      boolean counts =
          target.info().service().equals(service)
              && (target.penalized(nowMs) || !target.accepts(nowMs));
      if (counts && excluded.size() < MAX_EXCLUDED) {
        excluded.add(target.info().id());
      }
    }
    return excluded;
  }

  /**
   * If all remaining targets of a service reject requests for some time, the earliest time at which
   * one of them accepts them again.
   */
  Optional<Long> nextAcceptingMs(PlacementNeed need, long nowMs) {
    Optional<Long> earliest = Optional.empty();
    for (Target target : targets.values()) {
      boolean candidate =
          target.info().service().equals(need.service())
              && !need.excluded().contains(target.info().id())
              && !target.leaving();
      if (candidate && target.accepts(nowMs)) {
        return Optional.empty();
      }
      if (candidate && earliest.filter(ms -> ms <= target.rejectsUntilMs()).isEmpty()) {
        earliest = Optional.of(target.rejectsUntilMs());
      }
    }
    return earliest;
  }

  /** The target of a service with this ID, if it accepts requests. */
  Optional<Target> usable(TargetId id, String service, long nowMs) {
    return Optional.ofNullable(targets.get(id))
        .filter(target -> target.info().service().equals(service) && target.accepts(nowMs));
  }

  /** Whether a previously chosen target is still known and does not leave. */
  boolean staying(Target target) {
    return targets.get(target.info().id()) == target && !target.leaving();
  }

  /**
   * Chooses the least loaded target among a random sample of a service. Ties go to the preferred
   * failure domain, then to a random target. Penalized targets are used only if no other is left.
   */
  Optional<Target> choose(PlacementNeed need, long nowMs) {
    int count = Math.max(MIN_CANDIDATES, CANDIDATES_OF_ALL_INSTANCES / instances);
    List<Target> candidates = sample(count, usable(need.service(), need.excluded(), nowMs));
    return leastLoaded(candidates, need, need.preferredDomain(), 0, nowMs);
  }

  /**
   * Chooses the least loaded target among those that have room in memory and in their batch and are
   * not reserved for another request.
   */
  Optional<Target> chooseWithRoom(PlacementNeed need, Set<TargetId> reserved, long nowMs) {
    List<Target> fitting = new ArrayList<>();
    for (Target target : usable(need.service(), need.excluded(), nowMs)) {
      if (!reserved.contains(target.info().id()) && freeTokens(target, nowMs) >= need.tokens()) {
        fitting.add(target);
      }
    }
    return leastLoaded(fitting, need, need.preferredDomain(), 0, nowMs);
  }

  /** The target of a service with the most free memory that is not reserved for another request. */
  Optional<Target> mostFreeMemory(PlacementNeed need, Set<TargetId> reserved, long nowMs) {
    Optional<Target> best = Optional.empty();
    double most = Double.NEGATIVE_INFINITY;
    for (Target target : usable(need.service(), need.excluded(), nowMs)) {
      double free = freeTokens(target, nowMs);
      if (!reserved.contains(target.info().id()) && free > most) {
        best = Optional.of(target);
        most = free;
      }
    }
    return best;
  }

  /** Free memory for a new request, in tokens; 0 if the batch of the engine is full. */
  private double freeTokens(Target target, long nowMs) {
    Optional<EngineLimits> limits = limits(target.info().service());
    if (limits.isEmpty()) {
      return Double.MAX_VALUE;
    }
    TargetLoad load = totalLoad(target, nowMs);
    return load.requests() >= limits.get().slots()
        ? 0
        : ADMITTED_FRACTION * limits.get().memoryTokens() - load.tokens();
  }

  /** Total memory, in tokens, that may be assigned to requests on all available engines. */
  long admittedTokens() {
    double admitted = 0;
    for (Target target : targets.values()) {
      Optional<EngineLimits> limits = limits(target.info().service());
      if (!target.leaving() && limits.isPresent()) {
        admitted += ADMITTED_FRACTION * limits.get().memoryTokens();
      }
    }
    return (long) admitted;
  }

  /** Whether the total load of the engines of a service leaves room for backups. */
  private boolean roomForBackups(PlacementNeed need, EngineLimits limits, long nowMs) {
    double used = need.tokens();
    double memory = 0;
    for (Target target : targets.values()) {
      if (target.info().service().equals(need.service()) && !target.leaving()) {
        used += totalLoad(target, nowMs).tokens();
        memory += limits.memoryTokens();
      }
    }
    return used <= MAX_BACKUP_SERVICE_FRACTION * memory;
  }

  /** Whether a request fits on an idle engine of its service. */
  boolean fitsIdleEngine(PlacementNeed need) {
    return limits(need.service())
        .filter(limits -> ADMITTED_FRACTION * limits.memoryTokens() < need.tokens())
        .isEmpty();
  }

  /** Chooses the destination of a move; a copy within a failure domain is faster. */
  Optional<Target> chooseDestination(PlacementNeed need, int candidates, long nowMs) {
    return leastLoaded(
        sample(candidates, usable(need.service(), need.excluded(), nowMs)),
        need,
        need.preferredDomain(),
        REMOTE_COPY_PENALTY_TOKENS,
        nowMs);
  }

  /**
   * Chooses the engine that continuously gets a copy of a generation's memory, so that the
   * generation can continue there if its engine fails.
   */
  Optional<Target> chooseBackup(PlacementNeed need, Target primary, long nowMs) {
    Optional<EngineLimits> limits = limits(need.service()).filter(EngineLimits::backups);
    if (limits.isEmpty() || !need.wantsBackup() || !roomForBackups(need, limits.get(), nowMs)) {
      return Optional.empty();
    }
    long room = (long) (MAX_BACKUP_ENGINE_FRACTION * limits.get().memoryTokens()) - need.tokens();
    List<Target> candidates = new ArrayList<>();
    for (Target target : usable(need.service(), Set.of(primary.info().id()), nowMs)) {
      if (totalLoad(target, nowMs).tokens() <= room) {
        candidates.add(target);
      }
    }
    return leastLoaded(
        candidates, need, primary.info().domain(), REMOTE_COPY_PENALTY_TOKENS, nowMs);
  }

  private Optional<EngineLimits> limits(String service) {
    return Optional.ofNullable(engineLimits.get(service));
  }

  private List<Target> usable(String service, Set<TargetId> excluded, long nowMs) {
    List<Target> usable = new ArrayList<>();
    List<Target> preferred = new ArrayList<>();
    for (Target target : targets.values()) {
      boolean candidate =
          target.info().service().equals(service)
              && target.accepts(nowMs)
              && !excluded.contains(target.info().id());
      if (!candidate) {
        continue;
      }
      usable.add(target);
      if (!target.penalized(nowMs)) {
        preferred.add(target);
      }
    }
    return preferred.isEmpty() ? usable : preferred;
  }

  private List<Target> sample(int count, List<Target> from) {
    for (int i = from.size() - 1; i > 0; i--) {
      Collections.swap(from, i, random.nextInt(i + 1));
    }
    return from.subList(0, Math.min(count, from.size()));
  }

  private Optional<Target> leastLoaded(
      List<Target> candidates,
      PlacementNeed need,
      FailureDomain preferredDomain,
      double remotePenaltyTokens,
      long nowMs) {
    Optional<Target> best = Optional.empty();
    double bestLoad = Double.MAX_VALUE;
    for (Target candidate : candidates) {
      double load = loadScore(candidate, need.tokens(), nowMs);
      if (!candidate.info().domain().equals(preferredDomain)) {
        load += remotePenaltyTokens + 0.5;
      }
      if (load < bestLoad) {
        best = Optional.of(candidate);
        bestLoad = load;
      }
    }
    return best;
  }

  /** Load of all instances on a target, as far as this instance knows. */
  private TargetLoad totalLoad(Target target, long nowMs) {
    TargetLoad load = target.load();
    TargetRun run = TargetRun.of(target.info());
    for (RemoteLoad other : remoteLoads) {
      load = other.at(run, nowMs).map(load::plus).orElse(load);
    }
    return load;
  }

  /**
   * Weighted load, in tokens for generations and in requests for other services. Fractions below
   * one break ties.
   */
  private double loadScore(Target target, long addedTokens, long nowMs) {
    TargetLoad load = totalLoad(target, nowMs);
    long memory =
        limits(target.info().service()).map(EngineLimits::memoryTokens).orElse(Long.MAX_VALUE);
    double excess = Math.max(0, load.tokens() + addedTokens - NEARLY_FULL_FRACTION * memory);
    return load.requests()
        + load.tokens()
        + PREFILL_WEIGHT * load.prefillTokens()
        + NEARLY_FULL_WEIGHT * excess
        + random.nextDouble() / 2;
  }
}
