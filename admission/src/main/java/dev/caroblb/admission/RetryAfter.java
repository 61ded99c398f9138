package dev.caroblb.admission;

/** Estimates when a refused caller should retry, from the rate at which calls start. */
final class RetryAfter {
  private static final double HALF_LIFE_MS = 5_000;
  private static final long MIN_MS = 100;
  private static final long MAX_MS = 30_000;

  private double starts;
  private long startsAtMs;

  void started(long nowMs) {
    starts = decayed(nowMs) + 1;
    startsAtMs = nowMs;
  }

  private double decayed(long nowMs) {
    return starts * Math.pow(0.5, (nowMs - startsAtMs) / HALF_LIFE_MS);
  }

  /** Time until {@code waiting} calls have started at the current rate. */
  long estimateMs(int waiting, long nowMs) {
    double perMs = decayed(nowMs) * Math.log(2) / HALF_LIFE_MS;
    if (perMs <= 0) {
      return MAX_MS;
    }
    return (long) Math.max(MIN_MS, Math.min(MAX_MS, waiting / perMs));
  }
}
