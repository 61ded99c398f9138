package dev.caroblb.streams;

import dev.caroblb.core.Payload;

/** Event on the link to a target. */
public sealed interface EngineEvent {
  /** The target accepted the request and its answer began. */
  record Opened() implements EngineEvent {}

  /** One token of a generation; sequence numbers start at 1. */
  record Token(long sequence, Payload data) implements EngineEvent {}

  /** The link is alive but no token is available. */
  record KeepAlive() implements EngineEvent {}

  /** The generation is complete. */
  record Done() implements EngineEvent {}

  /** The whole answer of a plain service. */
  record Answer(int status, String contentType, Payload body) implements EngineEvent {}

  /** The target refused the request; it did not run. */
  record Rejected(int status, String message) implements EngineEvent {}

  /**
   * The link ended before the answer was complete.
   *
   * @param written whether any byte of the request may have been sent
   */
  record Failed(boolean written, String cause) implements EngineEvent {}
}
