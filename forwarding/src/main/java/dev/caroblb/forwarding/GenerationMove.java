package dev.caroblb.forwarding;

import java.util.Optional;

/**
 * Move of a running generation to another engine: a copy while the generation runs and, if its
 * engine falls silent, a final copy that stops it.
 *
 * @param destination the engine that gets the copy
 * @param stage progress of the move
 * @param copy the copy that was made while the generation was running
 * @param copiedAtMs time at which the copy or its last update was complete or failed
 * @param updating whether an update of the copy is in progress
 */
record GenerationMove(
    Target destination,
    Stage stage,
    Optional<CopiedMemory> copy,
    long copiedAtMs,
    boolean updating) {
  enum Stage {
    /** The generation runs while its memory is copied. */
    COPYING,
    /** The copy is complete and the generation still runs at the source. */
    COPIED,
    /** The source was told to stop the generation and make the final copy. */
    STOPPING
  }

  static GenerationMove to(Target destination) {
    return new GenerationMove(destination, Stage.COPYING, Optional.empty(), 0, false);
  }

  GenerationMove copied(CopiedMemory memory, long nowMs) {
    return new GenerationMove(destination, Stage.COPIED, Optional.of(memory), nowMs, false);
  }

  GenerationMove updateOrdered() {
    return new GenerationMove(destination, stage, copy, copiedAtMs, true);
  }

  GenerationMove updateFailed(long nowMs) {
    return new GenerationMove(destination, stage, copy, nowMs, false);
  }

  GenerationMove stopping() {
    return new GenerationMove(destination, Stage.STOPPING, copy, copiedAtMs, false);
  }
}
