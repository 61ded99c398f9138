package dev.caroblb.scheduling;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.TargetRun;
import dev.caroblb.targets.TargetLoad;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Forecast from the placements that were made and the load that instances no longer report. */
public final class LearnedRoomForecast implements RoomForecast {
  /**
   * Fraction of the freed room that is left to a request at least, in the forecast, when more
   * urgent ones need all of it.
   */
  private static final double MIN_RATE_FRACTION = 0.02;

  private final Map<String, ServiceRates> services = new HashMap<>();

  private ServiceRates of(String service) {
    return services.computeIfAbsent(service, name -> new ServiceRates());
  }

  /** Records a request in the queue's order by its objective. */
  void requested(String service, int priority, long tokens, long nowMs) {
    of(service).requested(priority, tokens, nowMs);
  }

  void placed(String service, InstanceId instance, TargetRun run, long tokens, long nowMs) {
    of(service).placements().placed(instance, run, tokens, nowMs);
  }

  /** Records load that an instance no longer has on a target, and what requests it has left. */
  void released(
      String service, InstanceId instance, TargetLoad released, long leftRequests, long nowMs) {
    ServiceRates rates = of(service);
    rates.freed(released.tokens(), released.requests(), nowMs);
    rates.placements().released(instance, released, leftRequests, nowMs);
  }

  /** Records that an instance reported its load. */
  void observed(long nowMs) {
    services.values().forEach(rates -> rates.observed(nowMs));
  }

  /** Memory that the engines of all services free, in tokens per second. */
  long freedTokensPerSecond(long nowMs) {
    double perMs = 0;
    for (ServiceRates rates : services.values()) {
      perMs += rates.rate(nowMs).map(Rate::tokensPerMs).orElse(0.0);
    }
    return Math.round(1_000 * perMs);
  }

  /** Records that an instance has load no more on a target that is gone. */
  void lost(InstanceId instance, TargetRun run) {
    services.values().forEach(rates -> rates.placements().lost(instance, run));
  }

  /** Forgets old placements, and those of other instances than the given ones. */
  void expire(Set<InstanceId> instances, long nowMs) {
    for (ServiceRates rates : services.values()) {
      rates.placements().retain(instances);
      rates.placements().expire(nowMs);
    }
  }

  @Override
  public Optional<Rate> rate(String service, long nowMs) {
    return Optional.ofNullable(services.get(service)).flatMap(rates -> rates.rate(nowMs));
  }

  @Override
  public Optional<Double> delayMs(String service, Demand demand, int belowPriority, long nowMs) {
    return delayMs(service, demand, of(service).demandPerMs(belowPriority, nowMs), nowMs);
  }

  @Override
  public Optional<Double> idleDelayMs(String service, Demand demand, long nowMs) {
    return delayMs(service, demand, of(service).lastingDemandPerMs(nowMs), nowMs);
  }

  private Optional<Double> delayMs(
      String service, Demand demand, double newDemandPerMs, long nowMs) {
    Optional<Rate> freed = rate(service, nowMs);
    if (freed.isEmpty() || freed.get().tokensPerMs() <= 0) {
      return Optional.empty();
    }
    double all = freed.get().tokensPerMs();
    double left = Math.max(all * MIN_RATE_FRACTION, all - newDemandPerMs);
    double memoryMs = demand.tokens() / left;
    double placesMs =
        demand.placesScarce() ? demand.requests() * all / left / freed.get().requestsPerMs() : 0;
    return Optional.of(Math.max(memoryMs, placesMs));
  }
}
