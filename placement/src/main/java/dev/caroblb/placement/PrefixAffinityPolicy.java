package dev.caroblb.placement;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Baseline: the target that most probably has the prefix cached, else the one that rendezvous
 * hashing selects. A call without a prefix goes to the target with the fewest calls of this
 * instance.
 */
public final class PrefixAffinityPolicy implements PlacementPolicy {
  private final Fleet fleet;
  private final SplittableRandom random;

  public PrefixAffinityPolicy(Fleet fleet, long seed) {
    this.fleet = fleet;
    this.random = new SplittableRandom(seed);
  }

  @Override
  public Optional<Placement> place(PlacementRequest request, long nowMs) {
    List<Target> targets = fleet.serving(request.modelOrService());
    long prefix = request.prompt().prefix();
    if (prefix == 0) {
      return Candidates.lowestCost(targets, request, random, target -> target.running().size())
          .map(target -> Candidates.toPlacement(target, request));
    }
    return Candidates.lowestCost(targets, request, random, target -> cost(target, prefix))
        .map(target -> Candidates.toPlacement(target, request));
  }

  /**
   * Rendezvous hash in 0 to 1, equal at all instances, minus the probability of a cached prefix.
   */
  private static double cost(Target target, Long prefix) {
    long hash = (target.id().hashCode() * 0x9E3779B97F4A7C15L ^ prefix) * 0xBF58476D1CE4E5B9L;
    return (hash >>> 11) / (double) (1L << 53) - target.prefixes.cachedProbability(prefix);
  }
}
