package dev.caroblb.targets;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.SoftwareVersion;
import dev.caroblb.core.TargetId;
import dev.caroblb.core.TargetRun;
import dev.caroblb.pacing.TargetLimits;
import dev.caroblb.routing.EngineLimits;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The known targets, and the selection of a target of a service. */
public final class TargetPool {
  /** Maximum number of targets excluded by a placement request, to keep the message small. */
  private static final int MAX_EXCLUDED = 32;

  /**
   * Number of candidates sampled for a move that an instance places itself. All generations of an
   * engine are moved at the same time by instances that do not know of each other's moves; the
   * least loaded engine would get them all.
   */
  public static final int OWN_MOVE_CANDIDATES = 2;

  /** Number of candidates for a move that a control instance places, which knows all moves. */
  public static final int ALL_MOVE_CANDIDATES = Integer.MAX_VALUE;

  private final CandidateSample sample;
  private final Map<TargetId, Target> targets = new HashMap<>();
  private final TargetLoads loads;
  private final TargetLimits limits;
  private final TargetChoice choice;
  private final BackupChoice backups;
  private Set<FailureDomain> evacuated = Set.of();

  /**
   * @param remoteLoads sources of the load of other instances
   * @param limits the request limits of targets
   */
  public TargetPool(RandomGenerator random, List<RemoteLoad> remoteLoads, TargetLimits limits) {
    this(random, remoteLoads, limits, TargetSpeeds.NONE);
  }

  /**
   * @param speeds learned speeds of targets
   */
  public TargetPool(
      RandomGenerator random,
      List<RemoteLoad> remoteLoads,
      TargetLimits limits,
      TargetSpeeds speeds) {
    this.sample = new CandidateSample(random);
    this.loads = new TargetLoads(random, remoteLoads);
    this.limits = limits;
    this.choice = new TargetChoice(loads, speeds);
    this.backups = new BackupChoice(loads, limits, choice);
  }

  /** Learned speeds of the targets. */
  public TargetSpeeds speeds() {
    return choice.speeds();
  }

  /** The known targets. */
  public List<TargetInfo> infos() {
    return targets.values().stream().map(Target::info).toList();
  }

  /** Load of all instances on a target, as far as this instance knows. */
  public TargetLoad load(Target target, long nowMs) {
    return loads.total(target, nowMs);
  }

  /** Adds a target or a new run of it; a repeated announcement has no effect. */
  public void available(TargetInfo info) {
    Target known = targets.get(info.id());
    if (known != null && known.info().equals(info)) {
      return;
    }
    if (known != null) {
      limits.forget(known.info().run());
    }
    Target added = new Target(info);
    added.setEvacuated(evacuated.contains(info.domain()));
    targets.put(info.id(), added);
  }

  /** Records a heartbeat of a run of a target that an instance received at a time. */
  public void heard(TargetRun run, long receivedMs) {
    find(run).ifPresent(target -> target.heard(receivedMs));
  }

  private Optional<Target> find(TargetRun run) {
    return Optional.ofNullable(targets.get(run.target()))
        .filter(target -> target.info().incarnation() == run.incarnation());
  }

  /**
   * Sets the failure domains to whose targets nothing may be sent. The targets of a domain whose
   * evacuation was withdrawn may have become cold meanwhile.
   */
  public void setEvacuated(Set<FailureDomain> domains, long nowMs) {
    for (FailureDomain domain : evacuated) {
      if (!domains.contains(domain)) {
        limits.warmingAgain(domain, nowMs);
      }
    }
    evacuated = Set.copyOf(domains);
    targets
        .values()
        .forEach(target -> target.setEvacuated(domains.contains(target.info().domain())));
  }

  /** Whether a target of a service and a software version may get requests, now or later. */
  public boolean serves(String service, SoftwareVersion version) {
    return targets.values().stream()
        .filter(Target::serves)
        .map(Target::info)
        .anyMatch(info -> info.service().equals(service) && info.softwareVersion().equals(version));
  }

  /** Whether a service has targets, but none is left because the others are evacuated. */
  public boolean allEvacuated(String service) {
    return ids(service, Target::serves).findAny().isEmpty()
        && ids(service, Target::evacuated).findAny().isPresent();
  }

  /** Marks a target as leaving; returns empty if this run is unknown or already marked. */
  public Optional<Target> leaving(TargetId id, long incarnation, long nowMs) {
    Optional<Target> known =
        find(new TargetRun(id, incarnation)).filter(target -> !target.leaving());
    known.ifPresent(target -> target.markLeaving(nowMs));
    return known;
  }

  /** Removes a run of a target; returns empty if it is unknown. */
  public Optional<Target> gone(TargetId id, long incarnation) {
    Optional<Target> known = find(new TargetRun(id, incarnation));
    known.ifPresent(target -> limits.forget(target.info().run()));
    known.ifPresent(target -> targets.remove(id));
    return known;
  }

  /**
   * Load of this instance on each engine that runs its generations. Requests of plain services are
   * not reported: they end before the report arrives, and when they were reported, all instances
   * chose the same target of a service at the same time.
   */
  public List<TargetLoad> ownLoads() {
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
  public void setInstances(int count) {
    sample.setInstances(count);
  }

  /** Sets the limits of the engines of each service. */
  public void setEngineLimits(Map<String, EngineLimits> limitsByService) {
    loads.setEngineLimits(limitsByService);
  }

  /**
   * Targets of a service that a control instance must not choose for this instance, at most {@link
   * #MAX_EXCLUDED}: those that want no requests from it, and penalized ones.
   */
  public Set<TargetId> excluded(String service, long nowMs) {
    return ids(service, target -> target.penalized(nowMs) || !target.accepts(nowMs))
        .limit(MAX_EXCLUDED)
        .collect(Collectors.toSet());
  }

  /** Targets of a service that may have restarted since their last heartbeat. */
  public Set<TargetId> unconfirmed(String service, long nowMs) {
    return ids(service, target -> !target.confirmed(nowMs)).collect(Collectors.toSet());
  }

  private Stream<TargetId> ids(String service, Predicate<Target> which) {
    return targets.values().stream()
        .filter(target -> target.info().service().equals(service))
        .filter(which)
        .map(target -> target.info().id());
  }

  /**
   * If all remaining targets of a service reject requests for some time, or have no permit, the
   * earliest time at which one of them is expected to accept a request again.
   */
  public Optional<Long> nextAcceptingMs(PlacementNeed need, long nowMs) {
    Optional<Long> earliest = Optional.empty();
    for (Target target : targets.values()) {
      boolean candidate =
          need.fits(target.info())
              && !need.excluded().contains(target.info().id())
              && target.serves();
      if (!candidate) {
        continue;
      }
      long permitMs = nowMs + limits.waitMs(target.info().run(), nowMs);
      long acceptingMs = Math.max(target.rejectsUntilMs(), permitMs);
      if (acceptingMs <= nowMs) {
        return Optional.empty();
      }
      if (earliest.filter(ms -> ms <= acceptingMs).isEmpty()) {
        earliest = Optional.of(acceptingMs);
      }
    }
    return earliest;
  }

  /** The target with this ID, if it accepts requests and is what a request needs. */
  public Optional<Target> usable(TargetId id, PlacementNeed need, long nowMs) {
    return usable(id, need.service(), nowMs).filter(target -> need.fits(target.info()));
  }

  /** The target of a service with this ID, if it accepts requests. */
  public Optional<Target> usable(TargetId id, String service, long nowMs) {
    return Optional.ofNullable(targets.get(id))
        .filter(target -> target.info().service().equals(service) && target.accepts(nowMs));
  }

  /** Whether a previously chosen target is still known, does not leave and is not evacuated. */
  public boolean staying(Target target) {
    return targets.get(target.info().id()) == target && target.serves();
  }

  /**
   * Chooses the least loaded target among a random sample of a service. Ties go to the preferred
   * failure domain, then to a random target. Penalized targets are used only if no other is left.
   */
  public Optional<Target> choose(PlacementNeed need, long nowMs) {
    return choice.nearest(sample.draw(permitted(need, nowMs)), need, nowMs);
  }

  /**
   * Chooses the least loaded target among those that have room in memory and in their batch and are
   * not reserved for another request.
   */
  public Optional<Target> chooseWithRoom(PlacementNeed need, Set<TargetId> reserved, long nowMs) {
    List<Target> fitting = new ArrayList<>();
    for (Target target : permitted(need, nowMs)) {
      if (!reserved.contains(target.info().id())
          && loads.freeTokens(target, nowMs) >= need.tokens()) {
        fitting.add(target);
      }
    }
    return choice.nearest(fitting, need, nowMs);
  }

  /**
   * The targets of a service that may get requests now, with their free memory, the one with most
   * of it first.
   */
  public List<FreeMemory> byFreeMemory(String service, long nowMs) {
    List<FreeMemory> free = new ArrayList<>();
    for (Target target : permitted(info -> info.service().equals(service), Set.of(), nowMs)) {
      free.add(new FreeMemory(target.info(), loads.freeTokens(target, nowMs)));
    }
    free.sort(Comparator.comparingDouble(FreeMemory::tokens).reversed());
    return free;
  }

  /**
   * The service of a run of a target that may get requests; empty if it leaves, is evacuated, or is
   * not known. The room that requests leave there is of no use.
   */
  public Optional<String> servingServiceOf(TargetRun run) {
    return find(run).filter(Target::serves).map(target -> target.info().service());
  }

  /** The places and requests on all targets of a service that do not leave. */
  public ServiceUse use(String service, long nowMs) {
    return loads.use(
        service,
        targets.values(),
        target -> target.accepts(nowMs) && limits.permits(target.info().run(), nowMs),
        nowMs);
  }

  /** Total memory, in tokens, that may be assigned to requests on all available engines. */
  public long admittedTokens() {
    return loads.admittedTokens(targets.values());
  }

  /** Whether a request fits on an idle engine of its service. */
  public boolean fitsIdleEngine(PlacementNeed need) {
    return loads.fitsIdleEngine(need);
  }

  /** Chooses the destination of a move; a copy within a failure domain is faster. */
  public Optional<Target> chooseDestination(PlacementNeed need, int candidates, long nowMs) {
    return choice.copyDestination(
        sample.draw(candidates, permitted(need, nowMs)), need, need.preferredDomain(), nowMs);
  }

  /**
   * Chooses the engine that continuously gets a copy of a generation's memory, so that the
   * generation can continue there if its engine fails.
   */
  public Optional<Target> chooseBackup(PlacementNeed need, Target primary, long nowMs) {
    PlacementNeed same = need.at(primary.info().softwareVersion());
    List<Target> others = accepting(same::fits, Set.of(primary.info().id()), nowMs);
    return backups.choose(same, primary, unpenalized(others, nowMs), targets.values(), nowMs);
  }

  /** Whether any target accepts a request, now or when it has a permit. */
  public boolean anyUsable(PlacementNeed need, long nowMs) {
    return !accepting(need::fits, need.excluded(), nowMs).isEmpty();
  }

  /** Targets that accept a request and name a request limit. */
  private List<Target> limited(PlacementNeed need, long nowMs) {
    List<Target> limited = accepting(need::fits, need.excluded(), nowMs);
    limited.removeIf(target -> !limits.limited(target.info().run(), nowMs));
    return limited;
  }

  /** Whether a control instance may have a permit for a limited target. */
  public boolean permitExpected(PlacementNeed need, long nowMs) {
    return limits.anyLimited(nowMs)
        && limited(need, nowMs).stream()
            .anyMatch(target -> limits.permitExpected(target.info().run(), nowMs));
  }

  /** Chooses the least loaded limited target for which this instance has a permit. */
  public Optional<Target> chooseLimited(PlacementNeed need, long nowMs) {
    List<Target> candidates = limited(need, nowMs);
    candidates.removeIf(target -> !limits.permits(target.info().run(), nowMs));
    return choice.nearest(unpenalized(candidates, nowMs), need, nowMs);
  }

  /** Time in milliseconds until a permit for a limited target is expected; empty if none is. */
  public Optional<Long> permitWaitMs(PlacementNeed need, long nowMs) {
    return limited(need, nowMs).stream()
        .map(target -> limits.waitMs(target.info().run(), nowMs))
        .min(Long::compare);
  }

  /** Records that a control instance has no permit for the limited targets until a time. */
  public void permitDenied(PlacementNeed need, long untilMs, long nowMs) {
    limited(need, nowMs).forEach(target -> limits.denied(target.info().run(), untilMs));
  }

  /** Uses a permit for a request that is sent or assigned to a target, if it names a limit. */
  public void takePermit(Target target, long nowMs) {
    limits.take(target.info().run(), nowMs);
  }

  /** Targets that accept a request and for which this instance needs no permit or has one. */
  private List<Target> permitted(PlacementNeed need, long nowMs) {
    return permitted(need::fits, need.excluded(), nowMs);
  }

  private List<Target> permitted(Predicate<TargetInfo> fits, Set<TargetId> excluded, long nowMs) {
    List<Target> permitted = accepting(fits, excluded, nowMs);
    permitted.removeIf(target -> !limits.permits(target.info().run(), nowMs));
    return unpenalized(permitted, nowMs);
  }

  private List<Target> accepting(Predicate<TargetInfo> fits, Set<TargetId> excluded, long nowMs) {
    List<Target> accepting = new ArrayList<>();
    for (Target target : targets.values()) {
      boolean candidate =
          fits.test(target.info())
              && target.accepts(nowMs)
              && !excluded.contains(target.info().id());
      if (candidate) {
        accepting.add(target);
      }
    }
    return accepting;
  }

  /** The targets without a penalty; all of them if each has one. */
  private static List<Target> unpenalized(List<Target> from, long nowMs) {
    List<Target> unpenalized = new ArrayList<>(from);
    unpenalized.removeIf(target -> target.penalized(nowMs));
    return unpenalized.isEmpty() ? from : unpenalized;
  }
}
