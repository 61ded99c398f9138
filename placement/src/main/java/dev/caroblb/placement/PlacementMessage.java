package dev.caroblb.placement;

/** Messages of the placement duty. */
public sealed interface PlacementMessage {
  /** The membership state or the load of a target changed. */
  record TargetSeen(TargetView view) implements PlacementMessage {}

  /** A target stored or evicted a prefix in its cache. */
  record CacheSeen(CacheEvent event) implements PlacementMessage {}

  /** A call needs a target. */
  record PlaceCall(PlacementRequest request) implements PlacementMessage {}

  /** Total number of tokens that a dispatched call has produced so far. */
  record Progressed(long call, int tokens) implements PlacementMessage {}

  /** A dispatched call ended normally with this many tokens. */
  record Finished(long call, int tokens) implements PlacementMessage {}

  /** The engine preempted a generation, which continues later. */
  record Preempted(long call) implements PlacementMessage {}

  /** A dispatched call ended without a complete answer. */
  record Failed(long call, CallFailure failure) implements PlacementMessage {}
}
