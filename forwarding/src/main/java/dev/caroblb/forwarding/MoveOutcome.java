package dev.caroblb.forwarding;

import java.util.Optional;

/** Result of a {@link MoveOrder}. */
public sealed interface MoveOutcome {
  /** The copy is complete. */
  record Copied(String handle) implements MoveOutcome {}

  /**
   * The destination has no room. After a final copy the source keeps the memory under the handle.
   */
  record NoRoom(Optional<String> handle) implements MoveOutcome {}

  /** The source does not run the generation, or has not started it yet. */
  record NotRunning() implements MoveOutcome {}

  /** The source refused the connection: its process has ended, and the generation with it. */
  record SourceEnded(String cause) implements MoveOutcome {}

  /**
   * The source sent no valid response, or responded that it executes an earlier order. The
   * generation may still run there.
   */
  record Failed(String cause) implements MoveOutcome {}
}
