package dev.caroblb.forwarding;

import dev.caroblb.core.Addressed;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import dev.caroblb.core.TargetId;
import dev.caroblb.routing.RoutingTable;
import java.util.List;

/** Input of the forwarding duty. */
public sealed interface ForwardingMessage {
  /** What became of one attempt; it counts only while that attempt is the present one. */
  sealed interface OfAttempt extends ForwardingMessage {
    long call();

    int attempt();
  }

  /** A whole request arrived. */
  record Arrived(ForwardCall call) implements ForwardingMessage {}

  /** The caller closed its connection before the answer was complete. */
  record CallerGone(long call) implements ForwardingMessage {}

  /** The caller takes parts of the answer again. */
  record CallerReady(long call) implements ForwardingMessage {}

  /** The head of an answer arrived. */
  record Head(long call, int attempt, AnswerHead head) implements OfAttempt {}

  /** A part of an answer's body arrived. */
  record Body(long call, int attempt, Payload part) implements OfAttempt {}

  /** The answer is complete. */
  record Ended(long call, int attempt) implements OfAttempt {}

  /** No complete answer will come; {@code sent} tells whether the target may have the request. */
  record Failed(long call, int attempt, boolean sent, String cause) implements OfAttempt {}

  /** A copy of a generation's memory is complete or failed. */
  record Moved(long call, int attempt, boolean last, MoveOutcome outcome) implements OfAttempt {}

  /**
   * The instances that are there.
   *
   * @param contacts control instances, other than this one
   * @param serving number of instances that serve callers; control instances know it
   */
  record ContactsChanged(List<InstanceId> contacts, int serving) implements ForwardingMessage {
    public ContactsChanged {
      contacts = List.copyOf(contacts);
    }
  }

  /** A message from another instance. */
  record FromPeer(Addressed<PeerMessage> received) implements ForwardingMessage {}

  /** Another routing table is in force. */
  record TableInstalled(RoutingTable table) implements ForwardingMessage {}

  /** The target may get requests. */
  record TargetAvailable(TargetInfo target) implements ForwardingMessage {}

  /** The target finishes what it runs and gets no new requests. */
  record TargetLeaving(TargetId target, long incarnation) implements ForwardingMessage {}

  /** The target was not heard of in time or was replaced. */
  record TargetGone(TargetId target, long incarnation) implements ForwardingMessage {}

  /** Requests that come from now on are refused, because the instance stops. */
  record RefuseNew() implements ForwardingMessage {}

  /** Requests that still run are broken off, because the instance ends. */
  record BreakOff() implements ForwardingMessage {}
}
