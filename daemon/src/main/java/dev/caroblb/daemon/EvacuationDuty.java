package dev.caroblb.daemon;

import dev.caroblb.core.Duty;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Proposer;
import dev.caroblb.core.StateMachine;
import dev.caroblb.evacuation.EvacuationHandler;
import dev.caroblb.evacuation.EvacuationMessage;
import dev.caroblb.evacuation.EvacuationOutlets;
import dev.caroblb.evacuation.EvacuationState;
import dev.caroblb.evacuation.PeerMessage;
import dev.caroblb.evacuation.codec.EvacuationStateMachine;
import dev.caroblb.evacuation.codec.GroupCommandProposer;
import dev.caroblb.evacuation.codec.PeerMessageCodec;
import dev.caroblb.evacuation.codec.SharedStateMachine;
import dev.caroblb.forwarding.ForwardingMessage;
import dev.caroblb.metrics.InstanceMetrics;
import dev.caroblb.scheduling.SchedulingMessage;
import dev.caroblb.transport.Channel;
import dev.caroblb.transport.PeerTransport;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Connects the evacuation duty of an instance to its control replica and to the other duties. */
final class EvacuationDuty implements Outlet<EvacuationMessage> {
  private final LateBoundOutlet<EvacuationMessage> queue = new LateBoundOutlet<>();
  private final EvacuationStateMachine stateMachine = new EvacuationStateMachine(queue);
  private volatile EvacuationState inForce = EvacuationState.NONE;

  /** The state machine of a group that evacuations share with another state machine. */
  StateMachine sharedWith(StateMachine first) {
    return new SharedStateMachine(first, stateMachine);
  }

  /**
   * Creates the duty.
   *
   * @param states receives each newer state; rejected ones are offered again
   */
  void create(
      DutyRegistry duties,
      PeerTransport transport,
      Proposer proposer,
      InstanceMetrics metrics,
      Outlet<EvacuationState> states) {
    PeerChannel<PeerMessage> peers =
        new PeerChannel<>(transport, Channel.EVACUATION, new PeerMessageCodec());
    Outlet<EvacuationState> installed =
        state -> {
          inForce = state;
          return states.offer(state);
        };
    Duty<EvacuationMessage> duty =
        duties.create(
            "evacuation",
            new EvacuationHandler(
                new GroupCommandProposer(proposer),
                new EvacuationOutlets(peers, installed, queue)));
    queue.bind(duty);
    // The replica restored its snapshot before the outlet was bound to its duty.
    stateMachine.offerState();
    peers.setReceiver(message -> duty.offer(new EvacuationMessage.FromPeer(message)));
    metrics.addGauge(
        "caroblb.evacuated.domains",
        "Failure domains to whose targets nothing is sent",
        () -> inForce.domains().size());
  }

  /** Passes states to forwarding and, on control instances, to scheduling. */
  static Outlet<EvacuationState> toTargetChoice(
      Outlet<ForwardingMessage> forwarding,
      Optional<? extends Outlet<SchedulingMessage>> scheduling) {
    return state -> {
      boolean scheduled =
          scheduling.isEmpty()
              || scheduling.get().offer(new SchedulingMessage.EvacuationsChanged(state.domains()));
      return scheduled
          && forwarding.offer(new ForwardingMessage.EvacuationsChanged(state.domains()));
    };
  }

  @Override
  public boolean offer(EvacuationMessage message) {
    return queue.offer(message);
  }

  boolean leaseChanged(LeaderLease lease) {
    return queue.offer(new EvacuationMessage.LeaseChanged(lease));
  }

  /** Passes the known instances on; reports go to the seeds and control instances among them. */
  boolean peersChanged(
      Set<InstanceId> peers, List<InstanceId> seeds, List<InstanceId> controlInstances) {
    Set<InstanceId> contacts = new HashSet<>(seeds);
    contacts.addAll(controlInstances);
    contacts.retainAll(peers);
    return queue.offer(new EvacuationMessage.PeersChanged(peers, contacts));
  }

  /** The newest state that this instance knows. */
  EvacuationState inForce() {
    return inForce;
  }
}
