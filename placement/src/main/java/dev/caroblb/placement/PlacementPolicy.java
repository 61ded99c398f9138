package dev.caroblb.placement;

import java.util.Optional;

/**
 * Chooses the target of each call. {@link #place} reads the {@link Fleet} passed to the constructor
 * and changes no state that later decisions depend on. The other methods notify the policy of
 * events after the fleet was updated.
 */
public interface PlacementPolicy {
  /** The target for a call, or empty when the call should wait. */
  Optional<Placement> place(PlacementRequest request, long nowMs);

  /** A call was placed. */
  default void placed(Generation generation, long nowMs) {}

  /** A call found no target and waits. */
  default void declined(PlacementRequest request, long nowMs) {}

  /** A generation produced tokens; {@code previousTokens} is the count reported before. */
  default void progressed(Generation generation, int previousTokens, long nowMs) {}

  /** A generation ended normally. */
  default void finished(Generation generation, int previousTokens, long nowMs) {}

  /** The engine preempted a generation. */
  default void preempted(Generation generation, long nowMs) {}

  /** A generation ended without a complete answer. */
  default void failed(Generation generation, CallFailure failure, long nowMs) {}

  /** A load report of a target arrived. */
  default void reported(Target target, long nowMs) {}

  /** Periodic work, at most every {@link PlacementHandler#TICK_MS}. */
  default void tick(long nowMs) {}
}
