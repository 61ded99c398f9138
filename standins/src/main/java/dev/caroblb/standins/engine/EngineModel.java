package dev.caroblb.standins.engine;

import java.util.OptionalLong;
import java.util.function.Consumer;

/** Model of an engine in simulated time; its user passes in the time in microseconds. */
public interface EngineModel {
  /** Adds a generation under an ID chosen by the user; false when the ID is already in use. */
  boolean submit(long generation, EngineRequest request, long nowUs);

  /** Time at which the running step ends; empty while the engine is idle. */
  OptionalLong nextStepEndUs();

  /** Ends the running step if its time has come, and starts the next one. */
  void step(long nowUs);

  /** Ends a generation and frees its memory; false when it is unknown. */
  boolean cancel(long generation);

  /** Replays the tokens after number {@code after}; false when the generation is unknown. */
  boolean resume(long generation, int after);

  /** Passes the events since the previous call to the consumer, in order. */
  void drainEvents(Consumer<EngineEvent> consumer);

  /** Current load, stamped with the given time. */
  EngineLoad load(long nowUs);
}
