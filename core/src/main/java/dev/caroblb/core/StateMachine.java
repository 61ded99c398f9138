package dev.caroblb.core;

/**
 * Deterministic state that a consensus group replicates. Every replica applies the same commands in
 * the same order; the result must depend on the state and the command only.
 */
public interface StateMachine {
  /** Applies a committed command and returns the answer for its proposer. */
  Payload apply(Payload command);

  /** The whole state, in a versioned format. */
  Payload snapshot();

  /** Replaces the state by one that {@link #snapshot()} returned. */
  void restore(Payload snapshot);

  /**
   * Whether a snapshot is taken soon after the last command. After a restart only the snapshot is
   * known to be committed until there is a leader, so a small state that is of use before that
   * should be in one.
   */
  default boolean snapshotsWhenIdle() {
    return false;
  }
}
