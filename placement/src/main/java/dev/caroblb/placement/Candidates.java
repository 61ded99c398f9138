package dev.caroblb.placement;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;

/** Selection of targets shared by the baseline policies. */
final class Candidates {
  private Candidates() {}

  /** Whether the target is eligible and outside the failure domain that a retry avoids. */
  static boolean isSuitable(Target target, PlacementRequest request) {
    return target.eligible()
        && (request.avoid().isEmpty() || !request.avoid().get().equals(target.domain()));
  }

  /** Eligible target of lowest cost, ties broken at random; the avoided domain is a fallback. */
  static Optional<Target> lowestCost(
      List<Target> targets,
      PlacementRequest request,
      SplittableRandom random,
      ToDoubleFunction<Target> cost) {
    Optional<Target> best = lowestCost(targets, Optional.of(request), random, cost);
    return best.isPresent() ? best : lowestCost(targets, Optional.empty(), random, cost);
  }

  private static Optional<Target> lowestCost(
      List<Target> targets,
      Optional<PlacementRequest> avoiding,
      SplittableRandom random,
      ToDoubleFunction<Target> cost) {
    Target best = null;
    double bestCost = Double.MAX_VALUE;
    int ties = 0;
    for (Target target : targets) {
      if (avoiding.isPresent() ? !isSuitable(target, avoiding.get()) : !target.eligible()) {
        continue;
      }
      double value = cost.applyAsDouble(target);
      if (value > bestCost) {
        continue;
      }
      ties = value < bestCost ? 1 : ties + 1;
      if (random.nextInt(ties) == 0) {
        best = target;
      }
      bestCost = value;
    }
    return Optional.ofNullable(best);
  }

  /** Placement with the engine priority derived from the team file only. */
  static Placement toPlacement(Target target, PlacementRequest request) {
    return target.placement(request.priority() * 100);
  }
}
