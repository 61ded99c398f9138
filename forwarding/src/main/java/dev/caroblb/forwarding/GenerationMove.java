package dev.caroblb.forwarding;

import java.util.Optional;

/**
 * Move of a running generation to another engine: a copy while the generation runs and, if its
 * engine falls silent, a final copy that stops it.
 *
 * @param destination the engine that gets the copy
 * @param stage progress of the move
 * @param copy the copy that was made while the generation was running
 * @param copiedAtMs time at which the copy was complete, or at which its last update was ordered
 */
record GenerationMove(
    Target destination, Stage stage, Optional<CopiedMemory> copy, long copiedAtMs) {
  enum Stage {
    /** The generation runs while its memory is copied. */
    COPYING,
    /** The copy is complete and the generation still runs at the source. */
    COPIED,
    /** The source was told to stop the generation and make the final copy. */
    STOPPING
  }

  static GenerationMove to(Target destination) {
    return new GenerationMove(destination, Stage.COPYING, Optional.empty(), 0);
  }

  GenerationMove copied(CopiedMemory memory, long nowMs) {
    return new GenerationMove(destination, Stage.COPIED, Optional.of(memory), nowMs);
  }

  GenerationMove refreshing(long nowMs) {
    return new GenerationMove(destination, stage, copy, nowMs);
  }

  GenerationMove stopping() {
    return new GenerationMove(destination, Stage.STOPPING, copy, copiedAtMs);
  }
}
