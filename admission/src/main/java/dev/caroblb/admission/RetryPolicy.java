package dev.caroblb.admission;

import dev.caroblb.core.RetryReason;

/** Decides whether a failed call is retried. */
interface RetryPolicy {
  /** Records a first attempt. */
  void firstAttempt();

  /** Whether the call may be retried; if so, the retry is charged to the budget. */
  boolean allows(AdmittedCall call, RetryReason reason);

  /** Time to wait before the next attempt. */
  long backoffMs(AdmittedCall call);
}
