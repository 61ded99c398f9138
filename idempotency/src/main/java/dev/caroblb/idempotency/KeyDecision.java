package dev.caroblb.idempotency;

import dev.caroblb.core.Refusal;

/** Decision about a call with an idempotency key, sent to the streams duty. */
public sealed interface KeyDecision {
  long call();

  /**
   * The reservation is committed: the call may be written to a target once. Sent at most once per
   * call.
   */
  record Granted(long call) implements KeyDecision {}

  /** The call ran before; this is its stored outcome. */
  record Stored(long call, StoredOutcome outcome) implements KeyDecision {}

  /** The call is not dispatched by this instance. */
  record Refused(long call, Refusal refusal) implements KeyDecision {}

  /**
   * Answer to {@link IdempotencyMessage.NothingSent}.
   *
   * @param committed whether "not run" may be reported to the caller; otherwise the outcome is
   *     unknown
   */
  record Released(long call, boolean committed) implements KeyDecision {}

  /**
   * Answer to {@link IdempotencyMessage.Finished}.
   *
   * @param committed whether a caller that sends the key again gets this outcome; otherwise it is
   *     told that the outcome is unknown
   */
  record Recorded(long call, boolean committed) implements KeyDecision {}
}
