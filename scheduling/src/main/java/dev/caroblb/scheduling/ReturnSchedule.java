package dev.caroblb.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Times at which rejected callers return, spread at the rate at which room is freed. Where no room
 * is expected within the time that a caller accepts, its return is drawn from the last third of
 * that time.
 */
final class ReturnSchedule {
  /** Minimum delay in milliseconds. */
  static final long MIN_DELAY_MS = 100;

  /** Callers honour a delay up to this fraction of the time that they have left. */
  private static final int MAX_DELAY_DIVISOR = 3;

  /**
   * A return is moved by up to this fraction of its delay, so that entries' delays do not align.
   */
  private static final double JITTER = 0.1;

  private final RandomGenerator random;
  private final Map<String, Double> nextFreeMs = new HashMap<>();

  ReturnSchedule(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns the delay in milliseconds after which a caller may return.
   *
   * @param expectedDelayMs time until room for the request is expected
   * @param shareMs time in which room of the size of the request is freed
   * @param leftMs time that the caller has left
   */
  long delayMs(String service, double expectedDelayMs, double shareMs, long leftMs, long nowMs) {
    double maxMs = Math.max(MIN_DELAY_MS, (double) leftMs / MAX_DELAY_DIVISOR);
    double atMs = Math.max(nowMs + expectedDelayMs, nextFreeMs.getOrDefault(service, 0.0));
    double delayMs = (atMs - nowMs) * (1 + JITTER * random.nextDouble());
    if (delayMs > maxMs) {
      return (long) Math.max(MIN_DELAY_MS, maxMs * (2 + random.nextDouble()) / 3);
    }
    nextFreeMs.put(service, atMs + shareMs);
    return (long) Math.max(MIN_DELAY_MS, delayMs);
  }

  /**
   * Returns the rest of the delay of a caller that returned early. It varies as well, because other
   * callers may have sent the same contents.
   */
  long restMs(long returnMs, long leftMs, long nowMs) {
    double restMs = (returnMs - nowMs) * (1 + JITTER * random.nextDouble());
    return (long) Math.max(MIN_DELAY_MS, Math.min(restMs, (double) leftMs / MAX_DELAY_DIVISOR));
  }
}
