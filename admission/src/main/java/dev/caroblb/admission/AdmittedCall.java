package dev.caroblb.admission;

import dev.caroblb.core.CallRequest;
import dev.caroblb.core.FailureDomain;
import java.util.Optional;

/** A call from its acceptance to its end. */
final class AdmittedCall {
  /** Progress of a call through admission. */
  enum State {
    QUEUED,
    AWAITING_PLACEMENT,
    DISPATCHED,
    BACKING_OFF
  }

  final CallRequest request;
  final WorkspaceShare share;
  State state = State.QUEUED;
  int attempt;
  long backoffMs;
  long retryAtMs;
  Optional<FailureDomain> avoid = Optional.empty();
  boolean cancelled;

  /** Whether the call was taken from its queue and still counts towards the queue bound. */
  boolean reserved;

  /** Whether an earlier attempt failed that may have run. */
  boolean mayHaveRun;

  AdmittedCall(CallRequest request, WorkspaceShare share) {
    this.request = request;
    this.share = share;
  }

  boolean expired(long nowMs) {
    return nowMs >= request.deadlineMs();
  }
}
