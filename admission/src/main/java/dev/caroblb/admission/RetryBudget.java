package dev.caroblb.admission;

/**
 * Limits retries to a share of first attempts, so that retries cannot amplify an overload. A small
 * reserve allows retries at an instance with little load.
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
