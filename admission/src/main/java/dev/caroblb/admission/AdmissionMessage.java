package dev.caroblb.admission;

import dev.caroblb.core.CallRequest;
import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.RetryReason;

/** Messages of the admission duty. */
public sealed interface AdmissionMessage {
  /** A caller sent a call. */
  record Submitted(CallRequest request, WorkspaceShare share) implements AdmissionMessage {}

  /** Placement found a target. */
  record TargetFound(long call, CallTarget target) implements AdmissionMessage {}

  /**
   * No target has capacity; {@code targetsKnown} is false when none serves the model or service.
   */
  record NoCapacity(long call, boolean targetsKnown, long retryAfterMs)
      implements AdmissionMessage {}

  /** Targets that serve a model or service may have free capacity. */
  record CapacityReported(String modelOrService) implements AdmissionMessage {}

  /**
   * A dispatched call failed before its first token.
   *
   * @param call identity of the call
   * @param reason how it failed; {@code LOST_BEFORE_FIRST_TOKEN} means that it may have run
   * @param domain failure domain of the target, to be avoided by the retry
   */
  record DispatchFailed(long call, RetryReason reason, FailureDomain domain)
      implements AdmissionMessage {}

  /** A dispatched call ended, with the tokens of its answer. */
  record Ended(long call, int tokens) implements AdmissionMessage {}

  /** The caller cancelled a call that is not dispatched yet. */
  record Cancelled(long call) implements AdmissionMessage {}
}
