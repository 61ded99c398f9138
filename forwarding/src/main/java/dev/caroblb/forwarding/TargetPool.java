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

/** The targets that this instance knows, and the choice among those of a service. */
final class TargetPool {
  /**
   * Weight of a prompt token that is not read yet against a token in memory. Prompts delay the
   * requests beside them at once, memory only once it is full.
   */
  private static final double UNREAD_WEIGHT = 20;

  /**
   * What a copy to another failure domain costs, in tokens of load: it takes twice as long, which a
   * generation of usual size makes up for only at a much busier engine.
   */
  private static final double REMOTE_MOVE_TOKENS = 10_000;

  /**
   * Part of an engine's expected memory up to which it takes backups, which take memory from
   * requests that would run there.
   */
  private static final double BACKUP_FULL = 0.7;

  /**
   * Part of the memory of all engines of a service up to which backups are made. Backups double the
   * memory of generations, so that an engine's own load says too late that all fill up.
   */
  private static final double BACKUP_SERVICE_FULL = 0.8;

  /**
   * Part of an engine's memory above which its load counts many times: what is expected of running
   * requests is uncertain, and a full memory preempts.
   */
  private static final double FULL = 0.85;

  private static final double FULL_WEIGHT = 20;

  /** Targets that a question for a target excludes because they failed; a question stays short. */
  private static final int MAX_PENALIZED = 32;

  /**
   * Part of an engine's memory that expected sizes may add up to before requests wait. Not all
   * generations reach their largest size at once.
   */
  private static final double ADMITTED = 1.0;

  /**
   * Candidates drawn for a request, times the number of instances. What others did in the last
   * tenths of a second is not known yet; among many instances, the least loaded target of all would
   * get the requests of all of them. With few, a choice among all targets preempts less.
   */
  private static final int CANDIDATES_TIMES_INSTANCES = 300;

  private static final int MIN_CANDIDATES = 4;

  /**
   * Candidates drawn for a move. All generations of an engine are moved at the same moment by
   * instances that do not know of each other's moves; the least loaded one would get them all.
   */
  private static final int MOVE_CANDIDATES = 2;

  private final RandomGenerator random;
  private final Map<TargetId, Target> targets = new HashMap<>();
  private final List<OtherWork> others;
  private int instances = 1;
  private Map<String, EngineLimits> engines = Map.of();

  /**
   * @param others work of other instances, from each place where some is known
   */
  TargetPool(RandomGenerator random, List<OtherWork> others) {
    this.random = random;
    this.others = List.copyOf(others);
  }

  /** Adds a target or its new run; an announcement of the same run changes nothing. */
  void available(TargetInfo info) {
    Target known = targets.get(info.id());
    if (known != null && known.info().equals(info)) {
      return;
    }
    targets.put(info.id(), new Target(info));
  }

  /** Marks a run as leaving; returns it unless it is unknown or was marked before. */
  Optional<Target> leaving(TargetId id, long incarnation, long nowMs) {
    Target known = targets.get(id);
    if (known == null || known.info().incarnation() != incarnation || known.leaving()) {
      return Optional.empty();
    }
    known.leave(nowMs);
    return Optional.of(known);
  }

  void gone(TargetId id, long incarnation) {
    Target known = targets.get(id);
    if (known != null && known.info().incarnation() == incarnation) {
      targets.remove(id);
    }
  }

  /**
   * Work of this instance at each engine that has some. Requests of plain services are over before
   * others hear of them: told of them, all instances chose the same target of a service at once.
   */
  List<TargetWork> ownWork() {
    List<TargetWork> work = new ArrayList<>();
    for (Target target : targets.values()) {
      if (target.holdsTokens()) {
        work.add(target.work());
      }
    }
    work.sort((a, b) -> a.target().name().compareTo(b.target().name()));
    return work;
  }

  /** Sets how many instances choose targets on their own, this one included. */
  void shareWith(int sharing) {
    instances = Math.max(1, sharing);
  }

  /** Sets the limits of the engines of each service. */
  void engines(Map<String, EngineLimits> limitsByService) {
    engines = Map.copyOf(limitsByService);
  }

  /** Targets of a service that failed requests of this instance lately, some of them at most. */
  Set<TargetId> penalized(String service, long nowMs) {
    Set<TargetId> penalized = new HashSet<>();
    for (Target target : targets.values()) {
      boolean counts = target.info().service().equals(service) && target.penalized(nowMs);
      if (counts && penalized.size() < MAX_PENALIZED) {
        penalized.add(target.info().id());
      }
    }
    return penalized;
  }

  /** The target of a name, if it takes requests. */
  Optional<Target> usable(TargetId id) {
    return Optional.ofNullable(targets.get(id)).filter(target -> !target.leaving());
  }

  /** Whether a target that was chosen before still takes requests. */
  boolean usable(Target target) {
    return targets.get(target.info().id()) == target && !target.leaving();
  }

  /**
   * Chooses the target with the least work among some of a service, ties at random and the own
   * failure domain first. Targets that failed lately are taken only when no other is left.
   */
  Optional<Target> choose(PlacementNeed need, long nowMs) {
    int count = Math.max(MIN_CANDIDATES, CANDIDATES_TIMES_INSTANCES / instances);
    List<Target> drawn = draw(count, usable(need.service(), need.excluded(), nowMs));
    return least(drawn, need, need.near(), 0, nowMs);
  }

  /**
   * Chooses the target with the least work among those that have room in memory and in their batch
   * and are not held for another request.
   */
  Optional<Target> chooseWithRoom(PlacementNeed need, Set<TargetId> held, long nowMs) {
    List<Target> fitting = new ArrayList<>();
    for (Target target : usable(need.service(), need.excluded(), nowMs)) {
      if (!held.contains(target.info().id()) && freeTokens(target, nowMs) >= need.tokens()) {
        fitting.add(target);
      }
    }
    return least(fitting, need, need.near(), 0, nowMs);
  }

  /** The target of a service with the most free memory that is not held for another request. */
  Optional<Target> mostRoom(PlacementNeed need, Set<TargetId> held, long nowMs) {
    Optional<Target> best = Optional.empty();
    double most = Double.NEGATIVE_INFINITY;
    for (Target target : usable(need.service(), need.excluded(), nowMs)) {
      double free = freeTokens(target, nowMs);
      if (!held.contains(target.info().id()) && free > most) {
        best = Optional.of(target);
        most = free;
      }
    }
    return best;
  }

  /** Tokens that a new request may be expected to need; 0 when the batch of an engine is full. */
  private double freeTokens(Target target, long nowMs) {
    Optional<EngineLimits> limits = engine(target.info().service());
    if (limits.isEmpty()) {
      return Double.MAX_VALUE;
    }
    TargetWork work = work(target, nowMs);
    return work.requests() >= limits.get().slots()
        ? 0
        : ADMITTED * limits.get().memoryTokens() - work.tokens();
  }

  /** Tokens that may be given to all engines together that take requests. */
  long admittedTokens() {
    double admitted = 0;
    for (Target target : targets.values()) {
      Optional<EngineLimits> limits = engine(target.info().service());
      if (!target.leaving() && limits.isPresent()) {
        admitted += ADMITTED * limits.get().memoryTokens();
      }
    }
    return (long) admitted;
  }

  /** Whether the engines of a service hold so little together that there is room for backups. */
  private boolean roomForBackups(PlacementNeed need, EngineLimits limits, long nowMs) {
    double held = need.tokens();
    double memory = 0;
    for (Target target : targets.values()) {
      if (target.info().service().equals(need.service()) && !target.leaving()) {
        held += work(target, nowMs).tokens();
        memory += limits.memoryTokens();
      }
    }
    return held <= BACKUP_SERVICE_FULL * memory;
  }

  /** Whether a request fits into an engine of its service that has no other work. */
  boolean fitsEmpty(PlacementNeed need) {
    return engine(need.service())
        .filter(limits -> ADMITTED * limits.memoryTokens() < need.tokens())
        .isEmpty();
  }

  /** Chooses where to move a generation; a copy within a failure domain is faster. */
  Optional<Target> chooseDestination(PlacementNeed need, long nowMs) {
    return least(
        draw(MOVE_CANDIDATES, usable(need.service(), need.excluded(), nowMs)),
        need,
        need.near(),
        REMOTE_MOVE_TOKENS,
        nowMs);
  }

  /**
   * Chooses the engine that gets a copy of a generation's memory as it grows, so that the
   * generation can go on there when its engine ends.
   */
  Optional<Target> chooseBackup(PlacementNeed need, Target primary, long nowMs) {
    Optional<EngineLimits> limits = engine(need.service()).filter(EngineLimits::backups);
    if (limits.isEmpty() || !need.backup() || !roomForBackups(need, limits.get(), nowMs)) {
      return Optional.empty();
    }
    long room = (long) (BACKUP_FULL * limits.get().memoryTokens()) - need.tokens();
    List<Target> candidates = new ArrayList<>();
    for (Target target : usable(need.service(), Set.of(primary.info().id()), nowMs)) {
      if (work(target, nowMs).tokens() <= room) {
        candidates.add(target);
      }
    }
    return least(candidates, need, primary.info().domain(), REMOTE_MOVE_TOKENS, nowMs);
  }

  private Optional<EngineLimits> engine(String service) {
    return Optional.ofNullable(engines.get(service));
  }

  private List<Target> usable(String service, Set<TargetId> tried, long nowMs) {
    List<Target> usable = new ArrayList<>();
    List<Target> preferred = new ArrayList<>();
    for (Target target : targets.values()) {
      boolean candidate =
          target.info().service().equals(service)
              && !target.leaving()
              && !tried.contains(target.info().id());
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

  private List<Target> draw(int count, List<Target> from) {
    for (int i = from.size() - 1; i > 0; i--) {
      Collections.swap(from, i, random.nextInt(i + 1));
    }
    return from.subList(0, Math.min(count, from.size()));
  }

  private Optional<Target> least(
      List<Target> candidates,
      PlacementNeed need,
      FailureDomain near,
      double remoteTokens,
      long nowMs) {
    Optional<Target> best = Optional.empty();
    double bestLoad = Double.MAX_VALUE;
    for (Target candidate : candidates) {
      double load = load(candidate, need.tokens(), nowMs);
      if (!candidate.info().domain().equals(near)) {
        load += remoteTokens + 0.5;
      }
      if (load < bestLoad) {
        best = Optional.of(candidate);
        bestLoad = load;
      }
    }
    return best;
  }

  /** Work that all instances have given to a target, as far as this one knows. */
  private TargetWork work(Target target, long nowMs) {
    TargetWork work = target.work();
    TargetRun run = TargetRun.of(target.info());
    for (OtherWork other : others) {
      work = other.at(run, nowMs).map(work::plus).orElse(work);
    }
    return work;
  }

  /** Work in tokens, or in requests where these have no tokens; less than one breaks ties. */
  private double load(Target target, long addedTokens, long nowMs) {
    TargetWork work = work(target, nowMs);
    long memory =
        engine(target.info().service()).map(EngineLimits::memoryTokens).orElse(Long.MAX_VALUE);
    double excess = Math.max(0, work.tokens() + addedTokens - FULL * memory);
    return work.requests()
        + work.tokens()
        + UNREAD_WEIGHT * work.unreadTokens()
        + FULL_WEIGHT * excess
        + random.nextDouble() / 2;
  }
}
