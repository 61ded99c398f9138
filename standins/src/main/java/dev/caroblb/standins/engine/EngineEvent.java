package dev.caroblb.standins.engine;

/** What an engine reports about a generation, or about its prefix cache. */
public sealed interface EngineEvent {
  /** Token with its number, from 1. */
  record Token(long generation, int sequence) implements EngineEvent {}

  /** The generation ended after this many tokens. */
  record Done(long generation, int tokens) implements EngineEvent {}

  /** The generation lost its memory and will be computed again. */
  record Preempted(long generation) implements EngineEvent {}

  /** A prefix was stored in the cache or evicted from it. */
  record CacheChanged(long sequence, long prefix, boolean stored) implements EngineEvent {}
}
