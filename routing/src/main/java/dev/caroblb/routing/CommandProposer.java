package dev.caroblb.routing;

import dev.caroblb.core.Outlet;
import dev.caroblb.core.ProposalOutcome;

/** Proposes commands to the group that replicates the routing state. */
@FunctionalInterface
public interface CommandProposer {
  /** Proposes a command; false when there was no room and nothing was proposed. */
  boolean propose(RoutingCommand command, Outlet<ProposalOutcome> reply);
}
