package dev.caroblb.admission;

import dev.caroblb.core.RetryReason;

/** Retries, within the budget, calls that did not run and calls that may be repeated. */
final class BudgetedRetryPolicy implements RetryPolicy {
  private final int maxAttempts;
  private final RetryBudget budget;
  private final DecorrelatedJitter jitter;

  BudgetedRetryPolicy(AdmissionSettings settings, long seed) {
    this.maxAttempts = settings.maxAttempts();
    this.budget = new RetryBudget(settings.retryShare());
    this.jitter = new DecorrelatedJitter(seed);
  }

  @Override
  public void firstAttempt() {
    budget.firstAttempt();
  }

  @Override
  public boolean allows(AdmittedCall call, RetryReason reason) {
    if (call.attempt + 1 >= maxAttempts) {
      return false;
    }
    boolean notRun = reason == RetryReason.CONNECT_FAILED || reason == RetryReason.TARGET_REFUSED;
    return (notRun || call.request.policy().repeatable()) && budget.tryAcquire();
  }

  @Override
  public long backoffMs(AdmittedCall call) {
    return jitter.next(call.backoffMs);
  }
}
