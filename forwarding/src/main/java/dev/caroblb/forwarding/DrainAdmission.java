package dev.caroblb.forwarding;

import java.util.Optional;

/**
 * Decides which requests may be sent to a target while this instance stops. Running requests are
 * ended at the drain limit, while another instance can run a refused one to its end.
 */
final class DrainAdmission {
  private Optional<Long> limitAtMs = Optional.empty();

  /** Sets the time at which requests that still run are aborted. */
  void setLimit(long atMs) {
    limitAtMs = Optional.of(atMs);
  }

  /**
   * Whether a request may be sent. Its timeout must end before the limit: no estimate bounds how
   * long a target takes.
   */
  boolean allows(Exchange exchange) {
    return limitAtMs.filter(limitMs -> exchange.deadlineMs() > limitMs).isEmpty();
  }

  /** The time left until the limit as a value of a log line. */
  String logValue(long nowMs) {
    return limitAtMs.map(atMs -> String.valueOf(Math.max(0, atMs - nowMs))).orElse("none");
  }
}
