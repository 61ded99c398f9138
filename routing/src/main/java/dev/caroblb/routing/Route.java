package dev.caroblb.routing;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Requests with a host and a path prefix, and how they are treated.
 *
 * @param name name of the route
 * @param host value of the host header
 * @param prefix beginning of the path; begins and ends with a slash
 * @param repeat how often a request may run
 * @param timeoutMs time in milliseconds after which the caller gets a final answer
 * @param objectiveMs time in milliseconds within which an answer, or the first event, should come
 * @param priority urgency; 0 is the most urgent
 * @param services the services that share the requests; the sum of weights is above 0
 * @param maxAttempts number of targets to which one request may be sent
 * @param open whether requests need no key
 * @param prefixLocality whether requests name the parts of their prompt
 * @param resumable whether a stream may go on at another target
 * @param eventGapObjectiveMs longest pause in milliseconds between two events; 0 when not stated
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
    boolean open,
    boolean prefixLocality,
    boolean resumable,
    long eventGapObjectiveMs) {
  public Route {
    services = List.copyOf(services);
  }

  /** Whether a request may be sent again after it may have run. */
  public boolean repeatable() {
    return repeat == RepeatRule.REPEATABLE || (repeat == RepeatRule.STREAM && resumable);
  }

  /** Chooses a service at random by the weights. */
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
