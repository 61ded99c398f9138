package dev.caroblb.idempotency;

/** Result of a {@link KeyCommand}; equal on every replica. */
public sealed interface KeyResult {
  /** The attempt holds the reservation, through this command or an earlier copy of it. */
  record Granted() implements KeyResult {}

  /** The call has run; this is its stored outcome. */
  record Stored(StoredOutcome outcome) implements KeyResult {}

  /** Another attempt holds the reservation. */
  record Held(Attempt holder) implements KeyResult {}

  /** The key cannot be reserved. */
  record Refused(KeyRefusal reason) implements KeyResult {}

  /** The outcome is stored. */
  record Recorded() implements KeyResult {}

  /**
   * The attempt holds no reservation, and no attempt had dispatched the call when the key was
   * released.
   */
  record Released() implements KeyResult {}

  /** The attempt does not hold the reservation, so its command had no effect. */
  record NotHolder() implements KeyResult {}
}
