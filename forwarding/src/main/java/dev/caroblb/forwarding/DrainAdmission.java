package dev.caroblb.forwarding;

import dev.caroblb.routing.RepeatRule;
import java.util.Optional;

/**
 * Decides which requests may still start while this instance stops. A request that cannot be
 * expected to end before the drain limit would be cut off there, while another instance can run it
 * to its end.
 */
final class DrainAdmission {
  private static final long UNKNOWN_DURATION_MS = Long.MAX_VALUE;

  private final DurationEstimate generations;
  private final DurationEstimate plainRequests;
  private Optional<Long> limitAtMs = Optional.empty();

  DrainAdmission(DurationEstimate generations, DurationEstimate plainRequests) {
    this.generations = generations;
    this.plainRequests = plainRequests;
  }

  /** Sets the time at which requests that still run are aborted. */
  void setLimit(long atMs) {
    limitAtMs = Optional.of(atMs);
  }

  /** Whether a request that starts now can be expected to end before the limit. */
  boolean allows(Exchange exchange, long nowMs) {
    if (limitAtMs.isEmpty() || exchange.deadlineMs() <= limitAtMs.get()) {
      return true;
    }
    return upperDurationMs(exchange) <= limitAtMs.get() - nowMs;
  }

  private long upperDurationMs(Exchange exchange) {
    if (exchange.call().generationSize().isPresent()) {
      return generations.upperMs(exchange);
    }
    return exchange.route().repeat() == RepeatRule.STREAM
        ? UNKNOWN_DURATION_MS
        : plainRequests.upperMs(exchange);
  }

  /** The time left until the limit as a value of a log line. */
  String logValue(long nowMs) {
    return limitAtMs.map(atMs -> String.valueOf(Math.max(0, atMs - nowMs))).orElse("none");
  }
}
