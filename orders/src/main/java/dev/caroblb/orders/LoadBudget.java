package dev.caroblb.orders;

/** Token bucket that limits loads to the rate that the weight store sustains. */
final class LoadBudget {
  private final int burst;
  private final long intervalMs;
  private double tokens;
  private long lastRefillMs;

  /**
   * Creates an empty bucket, since the recent loads ordered by an earlier leader are unknown.
   *
   * @param burst loads that may start at the same time
   * @param intervalMs time after which one more load may start
   */
  LoadBudget(int burst, long intervalMs, long nowMs) {
    this.burst = burst;
    this.intervalMs = intervalMs;
    this.lastRefillMs = nowMs;
  }

  /** Takes a token; false when the load has to wait. */
  boolean tryAcquire(long nowMs) {
    tokens = Math.min(burst, tokens + (double) (nowMs - lastRefillMs) / intervalMs);
    lastRefillMs = nowMs;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }

  /** Returns the token of a load that was not ordered. */
  void refund() {
    tokens = Math.min(burst, tokens + 1);
  }
}
