package dev.caroblb.forwarding;

import java.util.Optional;

/**
 * Move of a running generation to another engine: a copy while it goes on, then a last copy that
 * stops it.
 *
 * @param destination the engine that gets the copy
 * @param stage how far it is
 * @param copy the copy that was made while the generation went on
 * @param copiedAtMs when the copy was complete, or when it was last ordered to be brought up to
 *     date
 */
record Relocation(Target destination, Stage stage, Optional<CopiedMemory> copy, long copiedAtMs) {
  enum Stage {
    /** The generation goes on while its memory is copied. */
    COPYING,
    /** The copy is complete and the generation still goes on. */
    COPIED,
    /** The generation was told to stop. */
    STOPPING
  }

  static Relocation to(Target destination) {
    return new Relocation(destination, Stage.COPYING, Optional.empty(), 0);
  }

  Relocation copied(CopiedMemory memory, long nowMs) {
    return new Relocation(destination, Stage.COPIED, Optional.of(memory), nowMs);
  }

  Relocation refreshing(long nowMs) {
    return new Relocation(destination, stage, copy, nowMs);
  }

  Relocation stopping() {
    return new Relocation(destination, Stage.STOPPING, copy, copiedAtMs);
  }
}
