package dev.caroblb.placement;

/** Answers of the placement duty. */
public sealed interface PlacementOutcome {
  /** The call goes to this target. */
  record Placed(long call, Placement placement) implements PlacementOutcome {}

  /**
   * No target has room.
   *
   * @param call identity of the call
   * @param targetsKnown false when no target serves the kind at all
   * @param retryAfterMs time after which asking again is useful
   */
  record NoCapacity(long call, boolean targetsKnown, long retryAfterMs)
      implements PlacementOutcome {}

  /** A target that serves the kind gained room; calls that wait for it may be offered again. */
  record RoomReported(String kind) implements PlacementOutcome {}
}
