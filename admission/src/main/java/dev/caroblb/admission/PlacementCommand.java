package dev.caroblb.admission;

import dev.caroblb.core.CallRequest;
import dev.caroblb.core.FailureDomain;
import java.util.Optional;

/** Request of admission to placement. */
public sealed interface PlacementCommand {
  /**
   * A call needs a target; answered by {@code TargetFound} or {@code NoCapacity}.
   *
   * @param request the call
   * @param attempt 0 for the first dispatch
   * @param avoid failure domain of the previous attempt
   */
  record PlaceCall(CallRequest request, int attempt, Optional<FailureDomain> avoid)
      implements PlacementCommand {}

  /** Releases a target that was found for a call that will not be dispatched to it. */
  record ReleaseTarget(long call) implements PlacementCommand {}
}
