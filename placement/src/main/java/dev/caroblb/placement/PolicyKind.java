package dev.caroblb.placement;

import java.util.Locale;

/** Names of the policies, for settings and experiments. */
public enum PolicyKind {
  ROUND_ROBIN,
  LEAST_OUTSTANDING,
  LOWEST_LOAD,
  TWO_CHOICES,
  PREFIX_AFFINITY,
  PREDICTIVE;

  /** Creates the policy with default settings; the seed is for random choices. */
  public PlacementPolicy create(Fleet fleet, long seed) {
    return create(fleet, PredictiveSettings.defaults(), seed);
  }

  /** Creates the policy; only the predictive one uses the settings. */
  public PlacementPolicy create(Fleet fleet, PredictiveSettings settings, long seed) {
    return switch (this) {
      case ROUND_ROBIN -> new RoundRobinPolicy(fleet);
      case LEAST_OUTSTANDING -> new LeastOutstandingPolicy(fleet, seed);
      case LOWEST_LOAD -> new LowestLoadPolicy(fleet, seed);
      case TWO_CHOICES -> new TwoChoicesPolicy(fleet, seed);
      case PREFIX_AFFINITY -> new PrefixAffinityPolicy(fleet, seed);
      case PREDICTIVE -> new PredictivePolicy(fleet, settings, seed);
    };
  }

  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
