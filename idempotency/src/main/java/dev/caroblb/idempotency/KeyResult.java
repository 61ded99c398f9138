package dev.caroblb.idempotency;

/** Result of a {@link KeyCommand}; the same on every replica. */
public sealed interface KeyResult {
  /** The attempt holds the reservation, from now on or since an earlier copy of the command. */
  record Granted() implements KeyResult {}

  /** The call is done; this is its outcome. */
  record Stored(StoredOutcome outcome) implements KeyResult {}

  /** Another attempt holds the reservation. */
  record Held(Attempt holder) implements KeyResult {}

  /** The key cannot be reserved. */
  record Refused(KeyRefusal reason) implements KeyResult {}

  /** The outcome is stored. */
  record Recorded() implements KeyResult {}

  /** The attempt holds no reservation, and nobody had dispatched the call when it was released. */
  record Released() implements KeyResult {}

  /** The attempt does not hold the reservation, so its record or release changed nothing. */
  record NotHolder() implements KeyResult {}
}
