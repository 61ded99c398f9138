package dev.caroblb.forwarding;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Bounds how many requests of a service are sent more than once in any window. All instances share
 * one bound, so each takes the share that its own requests give it and a part of the fixed slack.
 */
final class RetryBudget {
  /** Part of the allowance that is used, because the instances count in windows that differ. */
  private static final double MARGIN = 0.8;

  /** Instances among which the slack is divided at least; not all may be known yet. */
  private static final int MIN_SHARES = 16;

  /** New instances take their share before the others have learned of them. */
  private static final double MORE_INSTANCES = 1.25;

  private final double ratio;
  private final long windowMs;
  private final double slack;
  private final Map<String, Window> windows = new HashMap<>();
  private double shares = MIN_SHARES;

  private static final class Window {
    private final ArrayDeque<Long> requests = new ArrayDeque<>();
    private final ArrayDeque<Long> repeats = new ArrayDeque<>();

    private void expire(long beforeMs) {
      expire(requests, beforeMs);
      expire(repeats, beforeMs);
    }

    private static void expire(ArrayDeque<Long> times, long beforeMs) {
      while (!times.isEmpty() && times.peekFirst() <= beforeMs) {
        times.removeFirst();
      }
    }
  }

  /**
   * @param ratio repeats allowed for each request of a service
   * @param windowMs length of the window in milliseconds
   * @param slack repeats that all instances together may add in each window
   */
  RetryBudget(double ratio, long windowMs, double slack) {
    this.ratio = ratio;
    this.windowMs = windowMs;
    this.slack = slack;
  }

  /** Divides the slack among the instances that are known. */
  void shareWith(int instances) {
    shares = Math.max(MIN_SHARES, MORE_INSTANCES * instances);
  }

  void request(String service, long nowMs) {
    window(service, nowMs).requests.addLast(nowMs);
  }

  /** Takes one repeat from the budget; false when none is left. */
  boolean take(String service, long nowMs) {
    Window window = window(service, nowMs);
    double allowed = MARGIN * (ratio * window.requests.size() + slack / shares);
    if (window.repeats.size() + 1 > allowed) {
      return false;
    }
    window.repeats.addLast(nowMs);
    return true;
  }

  private Window window(String service, long nowMs) {
    Window window = windows.computeIfAbsent(service, name -> new Window());
    window.expire(nowMs - windowMs);
    return window;
  }
}
