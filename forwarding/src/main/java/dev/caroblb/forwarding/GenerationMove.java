package dev.caroblb.forwarding;

import dev.caroblb.targets.Target;
import java.util.Optional;

/**
 * Move of a running generation to another engine: a copy while the generation runs and, if its
 * engine falls silent or its connection is lost, a final copy that stops it.
 *
 * @param destination the engine that gets the copy
 * @param stage progress of the move
 * @param copy the copy that was made while the generation was running
 * @param copiedAtMs time at which the copy or its last update was complete or failed
 * @param updating whether an update of the copy is in progress
 * @param stopByMs time by which the source must have stopped the generation
 * @param stopRetryMs time at which a failed order to stop is repeated; empty while one is pending
 */
record GenerationMove(
    Target destination,
    Stage stage,
    Optional<CopiedMemory> copy,
    long copiedAtMs,
    boolean updating,
    long stopByMs,
    Optional<Long> stopRetryMs) {
  enum Stage {
    /** The generation runs while its memory is copied. */
    COPYING,
    /** The copy is complete and the generation still runs at the source. */
    COPIED,
    /** The source was told to stop the generation and make the final copy. */
    STOPPING
  }

  static GenerationMove to(Target destination) {
    return new GenerationMove(
        destination, Stage.COPYING, Optional.empty(), 0, false, 0, Optional.empty());
  }

  /** A move to the engine that already has a backup of the memory. */
  static GenerationMove toBackup(Target destination, CopiedMemory memory, long nowMs) {
    return to(destination).copied(memory, nowMs);
  }

  GenerationMove copied(CopiedMemory memory, long nowMs) {
    return new GenerationMove(
        destination, Stage.COPIED, Optional.of(memory), nowMs, false, 0, Optional.empty());
  }

  GenerationMove updateOrdered() {
    return new GenerationMove(destination, stage, copy, copiedAtMs, true, 0, Optional.empty());
  }

  GenerationMove updateFailed(long nowMs) {
    return new GenerationMove(destination, stage, copy, nowMs, false, 0, Optional.empty());
  }

  GenerationMove stopping(long untilMs) {
    return new GenerationMove(
        destination, Stage.STOPPING, copy, copiedAtMs, false, untilMs, Optional.empty());
  }

  GenerationMove stopFailed(long retryMs) {
    return new GenerationMove(
        destination, stage, copy, copiedAtMs, updating, stopByMs, Optional.of(retryMs));
  }
}
