package dev.caroblb.forwarding;

import dev.caroblb.routing.RepeatRule;
import java.util.Optional;

/**
 * Decides which requests may be sent to a target while this instance stops. Running requests are
 * ended at the drain limit, while another instance can run a refused one to its end.
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

  /**
   * Whether a request may be sent now. Its timeout must end before the limit, since no estimate
   * bounds how long a target takes. Only a request that a target may have run already is sent again
   * by an estimate: a refusal would not tell its caller to use another instance.
   */
  boolean allows(Exchange exchange, long nowMs) {
    if (limitAtMs.isEmpty() || exchange.deadlineMs() <= limitAtMs.get()) {
      return true;
    }
    return exchange.possibleRuns() > 0 && upperDurationMs(exchange) <= limitAtMs.get() - nowMs;
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
