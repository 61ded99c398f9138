package dev.caroblb.placement;

import java.util.Optional;

/**
 * Probability that an output is longer than a number of tokens, learned online as a hazard for each
 * bucket of lengths. Each bucket counts the generations that reached it and those that ended in it,
 * so that running or interrupted generations count for the part they produced (right censoring).
 * Old counts decay. Where counts are few, the curve follows its prior.
 */
final class SurvivalCurve {
  // Old counts lose half their weight in about 700 generations, so that a new prompt template
  // changes the curve within an hour.
  private static final double WEIGHT_GROWTH = 1.001;
  private static final double MAX_WEIGHT = 1e9;
  // Weight of the prior in each bucket, as a number of generations.
  private static final double PRIOR_GENERATIONS = 4;

  // Without observations half of the outputs are longer than 128 tokens. Above, 30% end in each
  // bucket (half an octave), which keeps the mean at a few hundred tokens; with a lower hazard the
  // estimate for short calls followed the assumed tail instead of the observations.
  private static final int COLD_START_SHORT_BUCKETS = 12;
  private static final double COLD_START_SHORT_HAZARD = 0.05;
  private static final double COLD_START_LONG_HAZARD = 0.3;

  private final Optional<SurvivalCurve> prior;
  private final double[] reached = new double[LengthBuckets.COUNT];
  private final double[] ended = new double[LengthBuckets.COUNT];
  private final double[] hazard = new double[LengthBuckets.COUNT];
  private final double[] survival = new double[LengthBuckets.COUNT + 1];
  private final double[] tailTokens = new double[LengthBuckets.COUNT + 1];
  // Weight of a new observation. It grows, which makes the older counts decay in relation to it.
  private double currentWeight = 1;
  private double generations;

  SurvivalCurve(Optional<SurvivalCurve> prior) {
    this.prior = prior;
    refresh();
  }

  /** Records that a generation grew from one length to another and continues. */
  void grew(int from, int to) {
    int last = LengthBuckets.index(to);
    for (int bucket = LengthBuckets.index(from); bucket < last; bucket++) {
      reached[bucket] += currentWeight;
    }
  }

  /** Records the end of a generation whose growth to this length was recorded before. */
  void ended(int tokens) {
    int bucket = LengthBuckets.index(tokens);
    reached[bucket] += currentWeight;
    ended[bucket] += currentWeight;
    generations++;
    currentWeight *= WEIGHT_GROWTH;
    if (currentWeight > MAX_WEIGHT) {
      rescale();
    }
  }

  private void rescale() {
    for (int i = 0; i < LengthBuckets.COUNT; i++) {
      reached[i] /= currentWeight;
      ended[i] /= currentWeight;
    }
    currentWeight = 1;
  }

  /** Hazard of a bucket without observations: the fraction that ends there of those reaching it. */
  static double coldStartHazard(int bucket) {
    return bucket < COLD_START_SHORT_BUCKETS ? COLD_START_SHORT_HAZARD : COLD_START_LONG_HAZARD;
  }

  /** Recomputes the curve from the counts and the prior. */
  void refresh() {
    survival[0] = 1;
    for (int i = 0; i < LengthBuckets.COUNT; i++) {
      double priorHazard = prior.isPresent() ? prior.get().hazard[i] : coldStartHazard(i);
      double reachedCount = reached[i] / currentWeight;
      hazard[i] =
          (ended[i] / currentWeight + PRIOR_GENERATIONS * priorHazard)
              / (reachedCount + PRIOR_GENERATIONS);
      survival[i + 1] = survival[i] * (1 - hazard[i]);
    }
    tailTokens[LengthBuckets.COUNT] = 0;
    for (int i = LengthBuckets.COUNT - 1; i >= 0; i--) {
      int width = LengthBuckets.lower(i + 1) - LengthBuckets.lower(i);
      tailTokens[i] = tailTokens[i + 1] + width * (survival[i] + survival[i + 1]) / 2;
    }
  }

  /** Probability that an output is longer than {@code tokens}. */
  double survival(int tokens) {
    int bucket = LengthBuckets.index(tokens);
    return survival[bucket] + fraction(tokens, bucket) * (survival[bucket + 1] - survival[bucket]);
  }

  /** Expected number of further tokens after {@code produced} tokens. */
  double expectedRemaining(int produced) {
    double now = survival(produced);
    return now <= 0 ? 0 : tail(produced) / now;
  }

  /**
   * Probability that a generation of unknown progress, observed at a random moment, produces {@code
   * more} further tokens.
   */
  double survivalFromRandomMoment(int more) {
    return tailTokens[0] <= 0 ? 0 : tail(more) / tailTokens[0];
  }

  private double tail(int tokens) {
    int bucket = LengthBuckets.index(tokens);
    double part = fraction(tokens, bucket);
    return tailTokens[bucket] + part * (tailTokens[bucket + 1] - tailTokens[bucket]);
  }

  private static double fraction(int tokens, int bucket) {
    int lower = LengthBuckets.lower(bucket);
    int width = LengthBuckets.lower(bucket + 1) - lower;
    return Math.min(1.0, (tokens - lower) / (double) width);
  }

  /** Number of generations that ended. */
  double generations() {
    return generations;
  }
}
