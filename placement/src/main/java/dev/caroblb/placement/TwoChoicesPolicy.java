package dev.caroblb.placement;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** Baseline: of two random targets, the one with fewer running and waiting calls. */
public final class TwoChoicesPolicy implements PlacementPolicy {
  private static final int MAX_DRAWS = 8;

  private final Fleet fleet;
  private final SplittableRandom random;

  public TwoChoicesPolicy(Fleet fleet, long seed) {
    this.fleet = fleet;
    this.random = new SplittableRandom(seed);
  }

  @Override
  public Optional<Placement> place(PlacementRequest request, long nowMs) {
    List<Target> targets = fleet.serving(request.modelOrService());
    Optional<Target> first = drawSuitable(targets, request);
    if (first.isEmpty()) {
      return Candidates.lowestCost(targets, request, random, TwoChoicesPolicy::load)
          .map(target -> Candidates.toPlacement(target, request));
    }
    Target one = first.get();
    Target other = drawSuitable(targets, request).orElse(one);
    return Optional.of(Candidates.toPlacement(load(other) < load(one) ? other : one, request));
  }

  private Optional<Target> drawSuitable(List<Target> targets, PlacementRequest request) {
    for (int i = 0; i < MAX_DRAWS && !targets.isEmpty(); i++) {
      Target target = targets.get(random.nextInt(targets.size()));
      if (Candidates.isSuitable(target, request)) {
        return Optional.of(target);
      }
    }
    return Optional.empty();
  }

  private static double load(Target target) {
    int reported = target.load().map(report -> report.running() + report.waiting()).orElse(0);
    return reported + target.placedSinceReport();
  }
}
