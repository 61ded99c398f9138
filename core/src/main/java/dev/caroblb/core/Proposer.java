package dev.caroblb.core;

/** Entrance to the consensus groups of this instance. */
@FunctionalInterface
public interface Proposer {
  /**
   * Proposes a command. The outcome is offered to {@code reply} exactly once unless this method
   * returns false, which means that there was no room and nothing was proposed.
   */
  boolean propose(GroupId group, Payload command, Outlet<ProposalOutcome> reply);
}
