package dev.caroblb.streams;

import dev.caroblb.core.GenerationId;
import dev.caroblb.core.Payload;
import dev.caroblb.core.Refusal;
import java.util.List;

/** Event sent to a caller. A call ends with exactly one event other than {@link Token}. */
public sealed interface CallerEvent {
  /** The next token of the stream. */
  record Token(GenerationId generation, long sequence, Payload data) implements CallerEvent {}

  /** The stream is complete after the given number of tokens. */
  record Completed(GenerationId generation, long tokens) implements CallerEvent {}

  /** The whole generation, for a call that does not stream. */
  record Whole(GenerationId generation, List<Payload> tokens) implements CallerEvent {
    public Whole {
      tokens = List.copyOf(tokens);
    }
  }

  /** The whole answer of a plain service; {@code replayed} if an earlier run stored it. */
  record Answer(int status, String contentType, Payload body, boolean replayed)
      implements CallerEvent {}

  /** The stream ended early after tokens were delivered. */
  record Interrupted(GenerationId generation, long tokens, Refusal refusal)
      implements CallerEvent {}

  /** The call ended and no part of an answer was delivered. */
  record Refused(Refusal refusal) implements CallerEvent {}
}
