package dev.caroblb.targets;

import dev.caroblb.core.TargetRun;
import dev.caroblb.routing.EngineLimits;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/** The load of targets, from all instances as far as this one knows, and the room that is left. */
public final class TargetLoads {
  /**
   * Weight of a prompt token whose prefill is pending, relative to a token in memory. Prefill
   * delays concurrent requests immediately, memory use only when memory is full.
   */
  static final double PREFILL_WEIGHT = 20;

  /**
   * Fraction of the memory of all engines of a service up to which backups are made. Backups double
   * the memory of generations, so the load of a single engine shows too late that all fill up.
   */
  private static final double MAX_BACKUP_SERVICE_FRACTION = 0.8;

  /**
   * Fraction of an engine's memory above which its load is weighted more. Expected sizes of running
   * requests are uncertain, and an engine preempts requests when its memory is full.
   */
  static final double NEARLY_FULL_FRACTION = 0.85;

  private static final double NEARLY_FULL_WEIGHT = 20;

  /**
   * Fraction of an engine's memory that expected sizes may add up to before requests are queued.
   * Not all generations reach their largest size at the same time.
   */
  private static final double ADMITTED_FRACTION = 1.0;

  private final RandomGenerator random;
  private final List<RemoteLoad> remoteLoads;
  private Map<String, EngineLimits> engineLimits = Map.of();

  /**
   * @param random breaks ties
   * @param remoteLoads sources of the load of other instances
   */
  public TargetLoads(RandomGenerator random, List<RemoteLoad> remoteLoads) {
    this.random = random;
    this.remoteLoads = List.copyOf(remoteLoads);
  }

  /** Sets the limits of the engines of each service. */
  public void setEngineLimits(Map<String, EngineLimits> limitsByService) {
    engineLimits = Map.copyOf(limitsByService);
  }

  public Optional<EngineLimits> limits(String service) {
    return Optional.ofNullable(engineLimits.get(service));
  }

  /** Load of all instances on a target, as far as this instance knows. */
  public TargetLoad total(Target target, long nowMs) {
    TargetLoad load = target.load();
    TargetRun run = target.info().run();
    for (RemoteLoad other : remoteLoads) {
      load = other.at(run, nowMs).map(load::plus).orElse(load);
    }
    return load;
  }

  /**
   * Weighted load, in tokens for generations and in requests for other services. Fractions below
   * one break ties.
   */
  public double score(Target target, long addedTokens, long nowMs) {
    TargetLoad load = total(target, nowMs);
    long memory =
        limits(target.info().service()).map(EngineLimits::memoryTokens).orElse(Long.MAX_VALUE);
    double excess = Math.max(0, load.tokens() + addedTokens - NEARLY_FULL_FRACTION * memory);
    return load.requests()
        + load.tokens()
        + PREFILL_WEIGHT * load.prefillTokens()
        + NEARLY_FULL_WEIGHT * excess
        + random.nextDouble() / 2;
  }

  /** Free memory for a new request, in tokens; 0 if the batch of the engine is full. */
  public double freeTokens(Target target, long nowMs) {
    Optional<EngineLimits> limits = limits(target.info().service());
    if (limits.isEmpty()) {
      return Double.MAX_VALUE;
    }
    TargetLoad load = total(target, nowMs);
    return load.requests() >= limits.get().slots()
        ? 0
        : ADMITTED_FRACTION * limits.get().memoryTokens() - load.tokens();
  }

  /** Total memory, in tokens, that may be assigned to requests on all available engines. */
  public long admittedTokens(Collection<Target> targets) {
    double admitted = 0;
    for (Target target : targets) {
      Optional<EngineLimits> limits = limits(target.info().service());
      if (target.serves() && limits.isPresent()) {
        admitted += ADMITTED_FRACTION * limits.get().memoryTokens();
      }
    }
    return (long) admitted;
  }

  /** The places and requests on all targets of a service that do not leave. */
  ServiceUse use(
      String service, Collection<Target> targets, Predicate<Target> mayGetRequest, long nowMs) {
    long places = 0;
    long requests = 0;
    double mostFree = 0;
    int slots = limits(service).map(EngineLimits::slots).orElse(0);
    for (Target target : targets) {
      if (target.info().service().equals(service) && !target.leaving()) {
        places += slots;
        requests += total(target, nowMs).requests();
        mostFree =
            mayGetRequest.test(target) ? Math.max(mostFree, freeTokens(target, nowMs)) : mostFree;
      }
    }
    return new ServiceUse(places, requests, mostFree);
  }

  /** Whether the total load of the engines of a service leaves room for backups. */
  public boolean roomForBackups(
      Collection<Target> targets, PlacementNeed need, EngineLimits limits, long nowMs) {
    double used = need.tokens();
    double memory = 0;
    for (Target target : targets) {
      if (target.info().service().equals(need.service()) && target.serves()) {
        used += total(target, nowMs).tokens();
        memory += limits.memoryTokens();
      }
    }
    return used <= MAX_BACKUP_SERVICE_FRACTION * memory;
  }

  /** Whether a request fits on an idle engine of its service. */
  public boolean fitsIdleEngine(PlacementNeed need) {
    return limits(need.service())
        .filter(limits -> ADMITTED_FRACTION * limits.memoryTokens() < need.tokens())
        .isEmpty();
  }
}
