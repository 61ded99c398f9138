package dev.caroblb.routing;

import dev.caroblb.core.Outlet;
import dev.caroblb.core.ProposalOutcome;

/** Proposes commands to the group that replicates the routing state. */
@FunctionalInterface
public interface CommandProposer {
  /** Proposes a command; returns false, without proposing it, if the queue is full. */
  boolean propose(RoutingCommand command, Outlet<ProposalOutcome> reply);
}
