package dev.caroblb.core;

/** Proposes commands to the consensus groups of this instance. */
@FunctionalInterface
public interface Proposer {
  /**
   * Proposes a command. Returns false if the queue is full and nothing was proposed; otherwise the
   * outcome is offered to {@code reply} exactly once.
   */
  boolean propose(GroupId group, Payload command, Outlet<ProposalOutcome> reply);
}
