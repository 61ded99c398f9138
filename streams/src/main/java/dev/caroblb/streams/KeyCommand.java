package dev.caroblb.streams;

import dev.caroblb.core.CallRequest;
import dev.caroblb.core.Payload;

/** Requests about the idempotency key of a call that may not repeat. */
public sealed interface KeyCommand {
  /** Reserves the key before anything is sent to the target. */
  record Reserve(CallRequest call) implements KeyCommand {}

  /** Stores the outcome for later resends. */
  record StoreOutcome(CallRequest call, int status, String contentType, Payload body)
      implements KeyCommand {}

  /** Gives the reservation back because nothing was sent to the target. */
  record Release(CallRequest call) implements KeyCommand {}

  /** The call may have been sent but its answer is lost; the key stays reserved. */
  record OutcomeLost(CallRequest call) implements KeyCommand {}
}
