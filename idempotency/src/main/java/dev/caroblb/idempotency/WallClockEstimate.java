package dev.caroblb.idempotency;

/**
 * Estimates the wall-clock time as the one last received in a message plus the monotonic time that
 * has passed since.
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
