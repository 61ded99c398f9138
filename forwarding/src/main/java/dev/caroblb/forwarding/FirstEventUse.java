package dev.caroblb.forwarding;

import dev.caroblb.routing.Route;

/** How long a first event is of use to a caller. */
final class FirstEventUse {
  /** Callers abandon a stream after the longest of these times without an event. */
  private static final long MIN_ABANDON_MS = 2_000;

  private static final int ABANDON_OBJECTIVES = 4;
  private static final int ABANDON_EVENT_GAPS = 8;

  private FirstEventUse() {}

  /** Returns the time at which the caller abandons a request without an event. */
  static long untilMs(Route route, long arrivedMs, long deadlineMs) {
    long gapMs =
        Math.max(
            MIN_ABANDON_MS,
            Math.max(
                ABANDON_OBJECTIVES * route.objectiveMs(),
                ABANDON_EVENT_GAPS * route.eventGapObjectiveMs()));
    return Math.min(deadlineMs, arrivedMs + gapMs);
  }
}
