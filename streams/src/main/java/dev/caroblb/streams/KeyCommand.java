package dev.caroblb.streams;

import dev.caroblb.core.CallRequest;
import dev.caroblb.core.Payload;

/** Request to the idempotency duty about the key of a call that must not run twice. */
public sealed interface KeyCommand {
  /** Reserves the key before anything is sent to the target. */
  record Reserve(CallRequest call) implements KeyCommand {}

  /** Stores the outcome, to be replayed when the call is sent again. */
  record StoreOutcome(CallRequest call, int status, String contentType, Payload body)
      implements KeyCommand {}

  /** Releases the reservation because the call did not run. */
  record Release(CallRequest call) implements KeyCommand {}

  /** The call may have run but its answer is lost; the key stays reserved. */
  record OutcomeLost(CallRequest call) implements KeyCommand {}
}
