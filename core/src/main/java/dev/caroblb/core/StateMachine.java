package dev.caroblb.core;

/**
 * Deterministic state machine that a consensus group replicates. Every replica applies the same
 * commands in the same order; the result must depend on the state and the command only.
 */
public interface StateMachine {
  /** Applies a committed command and returns the result for its proposer. */
  Payload apply(Payload command);

  /** The whole state, in a versioned format. */
  Payload snapshot();

  /** Replaces the state by a snapshot that {@link #snapshot()} returned. */
  void restore(Payload snapshot);

  /**
   * Whether to take a snapshot soon after the last command. After a restart, only the snapshot is
   * known to be committed until a leader is elected, so a state machine whose small state is needed
   * earlier should return true.
   */
  default boolean snapshotsWhenIdle() {
    return false;
  }
}
