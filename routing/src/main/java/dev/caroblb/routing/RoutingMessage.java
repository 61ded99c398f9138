package dev.caroblb.routing;

import dev.caroblb.core.Addressed;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.ProposalOutcome;
import java.util.Set;

/** Input of the routing duty. */
public sealed interface RoutingMessage {
  /** An operator publishes a valid document. */
  record Publish(RoutingDocument document, Outlet<PublishOutcome> reply)
      implements RoutingMessage {}

  /** An operator asks for the newest document. */
  record Read(Outlet<ReadOutcome> reply) implements RoutingMessage {}

  /** The state machine of this replica put a document in force. */
  record Applied(RoutingDocument document) implements RoutingMessage {}

  /** The outcome of the proposal with the given number. */
  record Proposed(long proposal, ProposalOutcome outcome) implements RoutingMessage {}

  /** Who leads the control group. */
  record LeaseChanged(LeaderLease lease) implements RoutingMessage {}

  /** The instances to which documents are sent and that are asked for them. */
  record PeersChanged(Set<InstanceId> peers) implements RoutingMessage {
    public PeersChanged {
      peers = Set.copyOf(peers);
    }
  }

  /** A message from another instance. */
  record FromPeer(Addressed<PeerMessage> received) implements RoutingMessage {}
}
