package dev.caroblb.idempotency;

import dev.caroblb.core.Addressed;
import dev.caroblb.core.CallRequest;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.ProposalOutcome;

/** Input of the idempotency duty. */
public sealed interface IdempotencyMessage {
  /**
   * A caller sent a call with an idempotency key.
   *
   * @param wallMs wall-clock time of this instance
   */
  record Begin(CallRequest request, long wallMs) implements IdempotencyMessage {}

  /** The target answered a call that was granted. */
  record Finished(long call, StoredOutcome outcome) implements IdempotencyMessage {}

  /** Nothing of the call was written to a target, and nothing will be. */
  record NothingSent(long call) implements IdempotencyMessage {}

  /** The call was written to a target but its answer is lost; the key stays reserved. */
  record OutcomeLost(long call) implements IdempotencyMessage {}

  /**
   * A message from another instance.
   *
   * @param wallMs wall-clock time of this instance
   */
  record FromPeer(Addressed<KeyMessage> received, long wallMs) implements IdempotencyMessage {}

  /** What became of a command that this duty proposed. */
  record Proposed(long ticket, ProposalOutcome outcome) implements IdempotencyMessage {}

  /** Who leads a key group. */
  record Leadership(LeaderLease lease) implements IdempotencyMessage {}

  /** No run of the instance with this or a smaller incarnation exists any more. */
  record InstanceGone(InstanceId instance, long incarnation) implements IdempotencyMessage {}
}
