package dev.caroblb.scheduling;

/** Sum of what was added in the last seconds, kept in intervals. */
final class SlidingSum {
  private final long intervalMs;
  private final double[] sums;
  private long interval = Long.MIN_VALUE / 2;

  SlidingSum(long intervalMs, int intervals) {
    this.intervalMs = intervalMs;
    sums = new double[intervals];
  }

  void add(long value, long nowMs) {
    advance(nowMs);
    sums[Math.floorMod(interval, sums.length)] += value;
  }

  double sum(long nowMs) {
    advance(nowMs);
    double sum = 0;
    for (double part : sums) {
      sum += part;
    }
    return sum;
  }

  private void advance(long nowMs) {
    long current = Math.floorDiv(nowMs, intervalMs);
    for (long i = Math.max(interval + 1, current - sums.length + 1); i <= current; i++) {
      sums[Math.floorMod(i, sums.length)] = 0;
    }
    interval = Math.max(interval, current);
  }
}
