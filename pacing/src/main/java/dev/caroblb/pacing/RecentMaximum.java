package dev.caroblb.pacing;

/**
 * Maximum of a number in the last one to two periods. Instances that are no longer heard of may
 * still use their shares.
 */
final class RecentMaximum {
  private static final long PERIOD_MS = 60_000;

  private int current;
  private int previous;
  private long periodStartMs;

  void add(int value, long nowMs) {
    if (nowMs - periodStartMs >= PERIOD_MS) {
      previous = nowMs - periodStartMs < 2 * PERIOD_MS ? current : 0;
      current = 0;
      periodStartMs = nowMs;
    }
    current = Math.max(current, value);
  }

  int value() {
    return Math.max(current, previous);
  }
}
