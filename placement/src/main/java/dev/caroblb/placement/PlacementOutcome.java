package dev.caroblb.placement;

/** Answers of the placement duty. */
public sealed interface PlacementOutcome {
  /** The call goes to this target. */
  record Placed(long call, Placement placement) implements PlacementOutcome {}

  /**
   * No target has capacity for the call.
   *
   * @param call identity of the call
   * @param targetsKnown false when no target serves the model or service at all
   * @param retryAfterMs time after which a retry may succeed
   */
  record NoCapacity(long call, boolean targetsKnown, long retryAfterMs)
      implements PlacementOutcome {}

  /** A target may have free capacity for a model or service; waiting calls can be offered again. */
  record CapacityReported(String modelOrService) implements PlacementOutcome {}
}
