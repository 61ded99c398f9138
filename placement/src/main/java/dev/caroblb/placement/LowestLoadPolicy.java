package dev.caroblb.placement;

import java.util.Optional;
import java.util.SplittableRandom;

/** Baseline: the target with the lowest reported load. */
public final class LowestLoadPolicy implements PlacementPolicy {
  private final Fleet fleet;
  private final SplittableRandom random;

  public LowestLoadPolicy(Fleet fleet, long seed) {
    this.fleet = fleet;
    this.random = new SplittableRandom(seed);
  }

  @Override
  public Optional<Placement> place(PlacementRequest request, long nowMs) {
    return Candidates.lowestCost(
            fleet.serving(request.modelOrService()), request, random, LowestLoadPolicy::load)
        .map(target -> Candidates.toPlacement(target, request));
  }

  private static double load(Target target) {
    return target.load().map(LowestLoadPolicy::load).orElse(0.0);
  }

  private static double load(LoadReport report) {
    double used =
        report.totalBlocks() == 0 ? 0 : report.usedBlocks() / (double) report.totalBlocks();
    return used + report.waiting();
  }
}
