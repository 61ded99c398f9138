package dev.caroblb.admission;

/**
 * Retries as a share of first attempts, so that retries cannot multiply an overload. A small
 * reserve lets a quiet instance retry at all.
 */
final class RetryBudget {
  private static final double RESERVE = 10;

  private final double share;
  private double tokens = RESERVE;

  RetryBudget(double share) {
    this.share = share;
  }

  void firstAttempt() {
    tokens = Math.min(RESERVE, tokens + share);
  }

  /** Takes one retry from the budget; false when none is left. */
  boolean tryAcquire() {
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
