package dev.caroblb.forwarding;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.TargetId;
import dev.caroblb.pacing.AnnouncedWarmUp;
import dev.caroblb.routing.RoutingTable;
import dev.caroblb.targets.TargetInfo;
import java.util.List;
import java.util.Set;

/** Input of the forwarding handler. */
public sealed interface ForwardingMessage {
  /** Event of one attempt; ignored unless that attempt is the current one. */
  sealed interface AttemptEvent extends ForwardingMessage {
    long call();

    int attempt();
  }

  /** A complete request arrived. */
  record RequestArrived(ForwardCall call) implements ForwardingMessage {}

  /** The caller closed its connection before the response was complete. */
  record CallerGone(long call) implements ForwardingMessage {}

  /** The caller can take more of the response after its buffer was full. */
  record CallerReady(long call) implements ForwardingMessage {}

  /** The head of a response arrived. */
  record Head(long call, int attempt, ResponseHead head) implements AttemptEvent {}

  /** A part of a response body arrived. */
  record Body(long call, int attempt, Payload part) implements AttemptEvent {}

  /** The response is complete. */
  record Ended(long call, int attempt) implements AttemptEvent {}

  /** The attempt failed; {@code sent} tells whether the target may have received the request. */
  record Failed(long call, int attempt, boolean sent, String cause) implements AttemptEvent {}

  /** The target sent bytes that are no response; the request may have run. */
  record Malformed(long call, int attempt, String cause) implements AttemptEvent {}

  /** A copy of a generation's memory is complete or has failed. */
  record CopyEnded(long call, int attempt, boolean finalCopy, MoveOutcome outcome)
      implements AttemptEvent {}

  /**
   * The set of live instances changed.
   *
   * @param controlInstances control instances other than this one
   */
  record ControlInstancesChanged(List<InstanceId> controlInstances) implements ForwardingMessage {
    public ControlInstancesChanged {
      controlInstances = List.copyOf(controlInstances);
    }
  }

  /** A message from another instance about requests that crash their targets. */
  record FromPeer(PeerEnvelope<PeerMessage> received) implements ForwardingMessage {}

  /** A message from the scheduling handler of a control instance. */
  record FromScheduler(PeerEnvelope<dev.caroblb.scheduling.PeerMessage> received)
      implements ForwardingMessage {}

  /** A message from a control instance about the request limits of targets. */
  record LimitsFromPeer(PeerEnvelope<dev.caroblb.pacing.PeerMessage> received)
      implements ForwardingMessage {}

  /** A message from the resumption handler of a control instance. */
  record FromResumption(PeerEnvelope<dev.caroblb.resumption.PeerMessage> received)
      implements ForwardingMessage {}

  /** Another routing table became active. */
  record TableInstalled(RoutingTable table) implements ForwardingMessage {}

  /**
   * The target accepts requests; sent again with each heartbeat of the target.
   *
   * @param warmUp what the heartbeat says about the warm-up of the target
   */
  record TargetAvailable(TargetInfo target, AnnouncedWarmUp warmUp) implements ForwardingMessage {
    /** The target is warm. */
    public TargetAvailable(TargetInfo target) {
      this(target, AnnouncedWarmUp.WARM);
    }
  }

  /** The target finishes its running requests and accepts no new ones. */
  record TargetLeaving(TargetId target, long incarnation) implements ForwardingMessage {}

  /** The target was not heard from in time, or was replaced. */
  record TargetGone(TargetId target, long incarnation) implements ForwardingMessage {}

  /**
   * The planned stop of the instance has started, or its limit has changed.
   *
   * @param limitAtMs time at which requests that still run are aborted
   */
  record DrainStarted(long limitAtMs) implements ForwardingMessage {}

  /** New requests are refused from now on, because the instance stops. */
  record RefuseNew() implements ForwardingMessage {}

  /** The set of failure domains to whose targets nothing may be sent has changed. */
  record EvacuationsChanged(Set<FailureDomain> domains) implements ForwardingMessage {
    public EvacuationsChanged {
      domains = Set.copyOf(domains);
    }
  }

  /** Running requests are aborted, because the instance ends. */
  record AbortRunning() implements ForwardingMessage {}
}
