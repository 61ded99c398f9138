package dev.caroblb.idempotency;

import dev.caroblb.core.CallRequest;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.ProposalOutcome;

/** Input of the idempotency duty. */
public sealed interface IdempotencyMessage {
  /**
   * A caller sent a call with an idempotency key.
   *
   * @param wallMs wall-clock time of this instance
   */
  record Begin(CallRequest request, long wallMs) implements IdempotencyMessage {}

  /** The target responded to a granted call. */
  record Finished(long call, StoredOutcome outcome) implements IdempotencyMessage {}

  /** No part of the call was written to a target, and none will be. */
  record NothingSent(long call) implements IdempotencyMessage {}

  /** The call was written to a target but its response was lost; the key stays reserved. */
  record OutcomeLost(long call) implements IdempotencyMessage {}

  /**
   * A message from another instance.
   *
   * @param wallMs wall-clock time of this instance
   */
  record FromPeer(PeerEnvelope<KeyMessage> received, long wallMs) implements IdempotencyMessage {}

  /** Outcome of a command that this duty proposed. */
  record Proposed(long ticket, ProposalOutcome outcome) implements IdempotencyMessage {}

  /** Current leader of a key group. */
  record Leadership(LeaderLease lease) implements IdempotencyMessage {}

  /** The process of the instance with this incarnation, and every earlier one, has ended. */
  record InstanceGone(InstanceId instance, long incarnation) implements IdempotencyMessage {}
}
