package dev.caroblb.idempotency;

/** Command to the replicated state machine of a key group. */
public sealed interface KeyCommand {
  CallKey key();

  Attempt attempt();

  /**
   * Reserves a key for an attempt.
   *
   * @param digest digest of the call
   * @param wallMs wall-clock time of the leader when it proposed the command
   */
  record Reserve(CallKey key, Attempt attempt, Hash128 digest, long wallMs) implements KeyCommand {}

  /** Stores the outcome of the attempt that holds the reservation. */
  record RecordOutcome(CallKey key, Attempt attempt, StoredOutcome outcome) implements KeyCommand {}

  /**
   * Releases the reservation of an attempt that has not written the call to a target and never
   * will.
   */
  record Release(CallKey key, Attempt attempt) implements KeyCommand {}
}
