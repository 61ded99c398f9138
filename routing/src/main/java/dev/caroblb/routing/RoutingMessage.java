package dev.caroblb.routing;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.ProposalOutcome;
import java.util.Set;

/** Input of the routing handler. */
public sealed interface RoutingMessage {
  /** An operator publishes a valid document. */
  record Publish(RoutingDocument document, Outlet<PublishOutcome> reply)
      implements RoutingMessage {}

  /** An operator reads the newest document. */
  record Read(Outlet<ReadOutcome> reply) implements RoutingMessage {}

  /** The accepted document after the local state machine applied a command or a snapshot. */
  record Applied(RoutingDocument document) implements RoutingMessage {}

  /** The outcome of the proposal with the given number. */
  record Proposed(long proposal, ProposalOutcome outcome) implements RoutingMessage {}

  /** The leader lease of the control group changed. */
  record LeaseChanged(LeaderLease lease) implements RoutingMessage {}

  /** The set of instances with which this one exchanges documents has changed. */
  record PeersChanged(Set<InstanceId> peers) implements RoutingMessage {
    public PeersChanged {
      peers = Set.copyOf(peers);
    }
  }

  /** A message from another instance. */
  record FromPeer(PeerEnvelope<PeerMessage> received) implements RoutingMessage {}
}
