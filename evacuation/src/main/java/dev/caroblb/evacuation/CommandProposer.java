package dev.caroblb.evacuation;

import dev.caroblb.core.Outlet;

/** Proposes commands to the group that replicates the evacuation state. */
@FunctionalInterface
public interface CommandProposer {
  /** Proposes a command; returns false, without proposing it, if the queue is full. */
  boolean propose(EvacuationCommand command, Outlet<OrderOutcome> reply);
}
