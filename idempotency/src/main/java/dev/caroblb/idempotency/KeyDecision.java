package dev.caroblb.idempotency;

import dev.caroblb.core.Refusal;

/** What the streams duty learns about a call with an idempotency key. */
public sealed interface KeyDecision {
  long call();

  /** The reservation is committed: the call may be written to a target once. Told once. */
  record Granted(long call) implements KeyDecision {}

  /** The call ran before; its outcome is returned unchanged. */
  record Stored(long call, StoredOutcome outcome) implements KeyDecision {}

  /** The call is not dispatched by this instance. */
  record Refused(long call, Refusal refusal) implements KeyDecision {}

  /**
   * Answer to {@link IdempotencyMessage.NothingSent}.
   *
   * @param committed whether "not run" may be told; otherwise the outcome is unknown
   */
  record Released(long call, boolean committed) implements KeyDecision {}

  /**
   * Answer to {@link IdempotencyMessage.Finished}.
   *
   * @param committed whether a resend finds the outcome; otherwise it is told that it is unknown
   */
  record Recorded(long call, boolean committed) implements KeyDecision {}
}
