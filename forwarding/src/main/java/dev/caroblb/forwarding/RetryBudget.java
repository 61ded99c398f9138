package dev.caroblb.forwarding;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the retries of each service within a sliding window. All instances share one limit, so
 * each may use the share given by its own requests and a part of the fixed slack.
 */
final class RetryBudget {
  /** Fraction of the limit that is used, because the windows of the instances are not aligned. */
  private static final double WINDOW_SKEW_FACTOR = 0.8;

  /** Minimum number of instances that share the slack; some may not be known yet. */
  private static final int MIN_INSTANCES = 16;

  /** Allows for new instances, which use their share before the others know of them. */
  private static final double INSTANCE_GROWTH_FACTOR = 1.25;

  private final double ratio;
  private final long windowMs;
  private final double slack;
  private final Map<String, Window> windows = new HashMap<>();
  private double assumedInstances = MIN_INSTANCES;

  private static final class Window {
    private final ArrayDeque<Long> requests = new ArrayDeque<>();
    private final ArrayDeque<Long> retries = new ArrayDeque<>();

    private void expire(long beforeMs) {
      expire(requests, beforeMs);
      expire(retries, beforeMs);
    }

    private static void expire(ArrayDeque<Long> times, long beforeMs) {
      while (!times.isEmpty() && times.peekFirst() <= beforeMs) {
        times.removeFirst();
      }
    }
  }

  /**
   * @param ratio retries allowed per request of a service
   * @param windowMs length of the window in milliseconds
   * @param slack additional retries per window for all instances together
   */
  RetryBudget(double ratio, long windowMs, double slack) {
    this.ratio = ratio;
    this.windowMs = windowMs;
    this.slack = slack;
  }

  /** Sets the number of known instances, which share the slack. */
  void setInstances(int instances) {
    assumedInstances = Math.max(MIN_INSTANCES, INSTANCE_GROWTH_FACTOR * instances);
  }

  void recordRequest(String service, long nowMs) {
    window(service, nowMs).requests.addLast(nowMs);
  }

  /** Takes one retry from the budget; returns false if none is left. */
  boolean tryRetry(String service, long nowMs) {
    Window window = window(service, nowMs);
    double allowed =
        WINDOW_SKEW_FACTOR * (ratio * window.requests.size() + slack / assumedInstances);
    if (window.retries.size() + 1 > allowed) {
      return false;
    }
    window.retries.addLast(nowMs);
    return true;
  }

  private Window window(String service, long nowMs) {
    Window window = windows.computeIfAbsent(service, name -> new Window());
    window.expire(nowMs - windowMs);
    return window;
  }
}
