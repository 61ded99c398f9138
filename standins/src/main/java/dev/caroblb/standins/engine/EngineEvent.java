package dev.caroblb.standins.engine;

/** Event of a generation or of the prefix cache. */
public sealed interface EngineEvent {
  /** A token was generated; {@code sequence} counts from 1. */
  record Token(long generation, int sequence) implements EngineEvent {}

  /** The generation ended with the given number of tokens. */
  record Done(long generation, int tokens) implements EngineEvent {}

  /** The generation lost its memory and waits to be recomputed. */
  record Preempted(long generation) implements EngineEvent {}

  /** A prefix was stored in the cache or evicted from it. */
  record CacheChanged(long sequence, long prefix, boolean stored) implements EngineEvent {}
}
