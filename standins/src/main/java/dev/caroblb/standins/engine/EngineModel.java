package dev.caroblb.standins.engine;

import java.util.OptionalLong;
import java.util.function.Consumer;

/** An engine whose time is moved by its user, in microseconds. */
public interface EngineModel {
  /** Adds a generation under an identity chosen by the user; false when it is already known. */
  boolean submit(long generation, EngineRequest request, long nowUs);

  /** Time at which the running step ends; empty while there is nothing to do. */
  OptionalLong nextStepEndUs();

  /** Ends the step that is due and starts the next one. */
  void step(long nowUs);

  /** Ends a generation and frees its memory; false when it is unknown. */
  boolean cancel(long generation);

  /** Emits the tokens after number {@code after} again; false when the generation is unknown. */
  boolean resume(long generation, int after);

  /** Hands over the events since the last call, in order. */
  void drainEvents(Consumer<EngineEvent> consumer);

  /** Load at this moment. */
  EngineLoad load(long nowUs);
}
