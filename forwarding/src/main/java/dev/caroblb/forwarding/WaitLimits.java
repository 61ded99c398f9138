package dev.caroblb.forwarding;

/** Times until which requests wait for a target. */
final class WaitLimits {
  /** A request waits for a target up to its latency objective divided by this. */
  private static final int TARGET_WAIT_DIVISOR = 8;

  /**
   * Time that a request stays queued for an engine, in multiples of its latency objective. A late
   * response is of little use: callers disconnect after four objectives without an event.
   */
  private static final int MAX_QUEUED_OBJECTIVES = 3;

  private WaitLimits() {}

  /** Time until which a request stays queued at a control instance. */
  static long queuedUntilMs(Exchange exchange) {
    return Math.min(
        exchange.deadlineMs(),
        exchange.arrivedMs() + MAX_QUEUED_OBJECTIVES * exchange.route().objectiveMs());
  }

  /** Time until which a request waits while its service has no target. */
  static long waitUntilMs(Exchange exchange) {
    return Math.min(
        exchange.deadlineMs(),
        exchange.arrivedMs() + exchange.route().objectiveMs() / TARGET_WAIT_DIVISOR);
  }
}
