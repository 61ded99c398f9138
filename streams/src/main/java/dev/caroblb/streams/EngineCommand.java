package dev.caroblb.streams;

import dev.caroblb.core.CallRequest;
import dev.caroblb.core.GenerationId;
import dev.caroblb.core.Payload;
import dev.caroblb.core.WorkspaceId;

/** Commands to the adapter that owns the links, the connections to targets. */
public sealed interface EngineCommand {
  /** Starts a generation on a new link. */
  record Generate(
      long link, Endpoint endpoint, GenerationId generation, int priority, CallRequest call)
      implements EngineCommand {}

  /** Continues a generation after the token {@code afterSequence} on a new link. */
  record Resume(
      long link,
      Endpoint endpoint,
      GenerationId generation,
      WorkspaceId workspace,
      long afterSequence)
      implements EngineCommand {}

  /** Calls a plain service on a new link. */
  record CallService(long link, Endpoint endpoint, String call, String key, Payload body)
      implements EngineCommand {}

  /** Cancels a generation, best effort; needs no link. */
  record Cancel(Endpoint endpoint, GenerationId generation) implements EngineCommand {}

  /** Closes a link; no further events are reported for it. */
  record Close(long link) implements EngineCommand {}

  /** Acknowledges the last batch of events of the link, so that the next one may be sent. */
  record Consumed(long link) implements EngineCommand {}
}
