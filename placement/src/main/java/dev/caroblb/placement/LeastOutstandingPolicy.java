package dev.caroblb.placement;

import java.util.Optional;
import java.util.SplittableRandom;

/** Baseline: the target with the fewest running calls of this instance. */
public final class LeastOutstandingPolicy implements PlacementPolicy {
  private final Fleet fleet;
  private final SplittableRandom random;

  public LeastOutstandingPolicy(Fleet fleet, long seed) {
    this.fleet = fleet;
    this.random = new SplittableRandom(seed);
  }

  @Override
  public Optional<Placement> place(PlacementRequest request, long nowMs) {
    return Candidates.lowestCost(
            fleet.serving(request.modelOrService()),
            request,
            random,
            target -> target.running().size())
        .map(target -> Candidates.toPlacement(target, request));
  }
}
