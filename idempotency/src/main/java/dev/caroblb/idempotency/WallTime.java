package dev.caroblb.idempotency;

/** Wall-clock time between two messages that carry it, from the monotonic time passed since. */
final class WallTime {
  private long offsetMs;

  void observe(long wallMs, long nowMs) {
    offsetMs = wallMs - nowMs;
  }

  long at(long nowMs) {
    return nowMs + offsetMs;
  }
}
