package dev.caroblb.routing;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * A route: matches requests by host and path prefix and defines how they are handled.
 *
 * @param name name of the route
 * @param host value of the Host header
 * @param prefix path prefix; starts and ends with a slash
 * @param repeat how often a request may run
 * @param timeoutMs time in milliseconds after which the caller gets a final response
 * @param objectiveMs latency objective in milliseconds for the response or the first event
 * @param priority priority of its requests; 0 is the highest
 * @param services the services that share the requests; the sum of weights is above 0
 * @param maxAttempts maximum number of targets that may run one request
 * @param keyless whether requests need no API key
 * @param prefixLocality whether requests name the parts of their prompt
 * @param resumable whether a stream may resume at another target
 * @param eventGapObjectiveMs objective in milliseconds for the time between two events; 0 if none
 */
public record Route(
    String name,
    String host,
    String prefix,
    RepeatRule repeat,
    long timeoutMs,
    long objectiveMs,
    int priority,
    List<WeightedService> services,
    int maxAttempts,
    boolean keyless,
    boolean prefixLocality,
    boolean resumable,
    long eventGapObjectiveMs) {
  public Route {
    services = List.copyOf(services);
  }

  /** Whether a request that may already have run may be sent again. */
  public boolean repeatable() {
    return repeat == RepeatRule.REPEATABLE || (repeat == RepeatRule.STREAM && resumable);
  }

  /** Whether requests may go to a service. */
  public boolean leadsTo(String name) {
    return services.stream()
        .anyMatch(service -> service.service().equals(name) && service.weight() > 0);
  }

  /** Chooses a service by weighted random selection. */
  public String chooseService(RandomGenerator random) {
    long total = 0;
    for (WeightedService service : services) {
      total += service.weight();
    }
    long drawn = random.nextLong(total);
    for (WeightedService service : services) {
      drawn -= service.weight();
      if (drawn < 0) {
        return service.service();
      }
    }
    throw new IllegalStateException("route " + name + " has no service with a weight above 0");
  }
}
