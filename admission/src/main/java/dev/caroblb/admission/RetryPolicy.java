package dev.caroblb.admission;

import dev.caroblb.core.RetryReason;

/** Decides whether a failed call is sent again. */
interface RetryPolicy {
  /** Takes in a first attempt. */
  void firstAttempt();

  /** Whether the call may be sent again; takes from the budget when it may. */
  boolean allows(AdmittedCall call, RetryReason reason);

  /** Time to wait before the next attempt. */
  long backoffMs(AdmittedCall call);
}
