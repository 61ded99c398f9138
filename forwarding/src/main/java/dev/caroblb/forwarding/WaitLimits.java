package dev.caroblb.forwarding;

/** Times until which requests wait for a target. */
final class WaitLimits {
  /** A request waits for a target up to its latency objective divided by this. */
  private static final int TARGET_WAIT_DIVISOR = 8;

  /**
   * Time that a request stays queued for an engine, in multiples of its latency objective. Callers
   * disconnect after four objectives without an event, and the first one takes time after the
   * start.
   */
  private static final int MAX_QUEUED_OBJECTIVES = 3;

  private WaitLimits() {}

  /** Time until which a request stays queued at a control instance, unless that rejects it. */
  static long queuedUntilMs(Exchange exchange) {
    long usefulUntilMs =
        FirstEventUse.untilMs(exchange.route(), exchange.arrivedMs(), exchange.deadlineMs());
    return Math.min(
        usefulUntilMs,
        exchange.arrivedMs() + MAX_QUEUED_OBJECTIVES * exchange.route().objectiveMs());
  }

  /** Time until which a request waits while its service has no target. */
  static long waitUntilMs(Exchange exchange) {
    return Math.min(
        exchange.deadlineMs(),
        exchange.arrivedMs() + exchange.route().objectiveMs() / TARGET_WAIT_DIVISOR);
  }
}
