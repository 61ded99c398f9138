package dev.caroblb.placement;

/** Messages of the placement duty. */
public sealed interface PlacementMessage {
  /** Membership learned something about a target. */
  record TargetSeen(TargetView view) implements PlacementMessage {}

  /** A target published a change of its prefix cache. */
  record CacheSeen(CacheEvent event) implements PlacementMessage {}

  /** A call needs a target. */
  record PlaceCall(PlacementRequest request) implements PlacementMessage {}

  /** A dispatched call has produced this many tokens in all. */
  record Progressed(long call, int tokens) implements PlacementMessage {}

  /** A dispatched call ended normally with this many tokens. */
  record Finished(long call, int tokens) implements PlacementMessage {}

  /** The engine preempted a generation, which continues later. */
  record Preempted(long call) implements PlacementMessage {}

  /** A dispatched call ended without its whole answer. */
  record Failed(long call, CallFailure failure) implements PlacementMessage {}
}
