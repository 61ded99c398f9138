package dev.caroblb.admission;

import dev.caroblb.core.CallRequest;
import dev.caroblb.core.FailureDomain;
import java.util.Optional;

/** What admission asks of placement. */
public sealed interface PlacementCommand {
  /**
   * A call needs a target; answered by {@code TargetFound} or {@code NoRoom}.
   *
   * @param request the call
   * @param attempt 0 for the first dispatch
   * @param avoid failure domain of the previous attempt
   */
  record PlaceCall(CallRequest request, int attempt, Optional<FailureDomain> avoid)
      implements PlacementCommand {}

  /** A target was found for a call that is not dispatched to it after all. */
  record ReleaseTarget(long call) implements PlacementCommand {}
}
