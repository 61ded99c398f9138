package dev.caroblb.forwarding;

import java.util.Optional;

/** What became of a {@link MoveOrder}. */
public sealed interface MoveOutcome {
  /** The copy is complete. */
  record Copied(String handle) implements MoveOutcome {}

  /** There was no room; after a last copy the source keeps the memory under the handle. */
  record NoRoom(Optional<String> handle) implements MoveOutcome {}

  /** The source runs no such generation, or not yet. */
  record NotRunning() implements MoveOutcome {}

  /** The source gave no usable answer. */
  record Failed(String cause) implements MoveOutcome {}
}
