package dev.caroblb.idempotency;

/**
 * Estimates the wall-clock time from the monotonic clock and the last message that carried both.
 */
final class WallClockEstimate {
  private long offsetMs;

  void observe(long wallMs, long nowMs) {
    offsetMs = wallMs - nowMs;
  }

  long at(long nowMs) {
    return nowMs + offsetMs;
  }
}
