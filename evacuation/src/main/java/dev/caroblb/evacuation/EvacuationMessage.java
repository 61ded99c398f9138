package dev.caroblb.evacuation;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;
import java.util.Set;

/** Input of the evacuation handler. */
public sealed interface EvacuationMessage {
  /** An operator's order for a failure domain. */
  record Order(EvacuationCommand command, Outlet<OrderOutcome> reply)
      implements EvacuationMessage {}

  /** The state after the local state machine applied a command or a snapshot. */
  record Applied(EvacuationState state) implements EvacuationMessage {}

  /** The outcome of the proposal with the given number. */
  record Proposed(long proposal, OrderOutcome outcome) implements EvacuationMessage {}

  /** The leader lease of the control group changed. */
  record LeaseChanged(LeaderLease lease) implements EvacuationMessage {}

  /**
   * The known instances have changed.
   *
   * @param peers the instances that get new states, without this one
   * @param contacts those of them that get the reports of this instance: the control instances
   */
  record PeersChanged(Set<InstanceId> peers, Set<InstanceId> contacts)
      implements EvacuationMessage {
    public PeersChanged {
      peers = Set.copyOf(peers);
      contacts = Set.copyOf(contacts);
    }
  }

  /** A message from another instance. */
  record FromPeer(PeerEnvelope<PeerMessage> received) implements EvacuationMessage {}
}
