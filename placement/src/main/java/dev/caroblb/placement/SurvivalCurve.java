package dev.caroblb.placement;

import java.util.Optional;

/**
 * Probability that an output is longer than a number of tokens, learned online. Each bucket counts
 * how many generations reached it and how many ended in it, so that generations that still run or
 * were cut off count for the part they produced. Old counts fade. Where own counts are few, the
 * curve follows its prior.
 */
final class SurvivalCurve {
  // Counts halve after about 700 generations, so that a new template shows within an hour.
  private static final double WEIGHT_GROWTH = 1.001;
  private static final double MAX_WEIGHT = 1e9;
  // The prior weighs as much as this many generations in each bucket.
  private static final double PRIOR_GENERATIONS = 4;

  // Cold start: half of the outputs are longer than 128 tokens; beyond, each half octave ends three
  // in ten, so that the mean stays at a few hundred tokens. A lighter hazard made the mean of short
  // calls follow the assumed tail instead of what was seen.
  private static final int COLD_START_SHORT_BUCKETS = 12;
  private static final double COLD_START_SHORT_HAZARD = 0.05;
  private static final double COLD_START_LONG_HAZARD = 0.3;

  private final Optional<SurvivalCurve> prior;
  private final double[] reached = new double[LengthBuckets.COUNT];
  private final double[] ended = new double[LengthBuckets.COUNT];
  private final double[] hazard = new double[LengthBuckets.COUNT];
  private final double[] survival = new double[LengthBuckets.COUNT + 1];
  private final double[] tailTokens = new double[LengthBuckets.COUNT + 1];
  private double currentWeight = 1;
  private double generations;

  SurvivalCurve(Optional<SurvivalCurve> prior) {
    this.prior = prior;
    refresh();
  }

  /** Takes in that a generation grew from one length to another and goes on. */
  void grew(int from, int to) {
    int last = LengthBuckets.index(to);
    for (int bucket = LengthBuckets.index(from); bucket < last; bucket++) {
      reached[bucket] += currentWeight;
    }
  }

  /** Takes in that a generation ended at a length, all growth up to it taken in before. */
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

  /** Share of the generations reaching a bucket that is taken to end in it before any ended. */
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

  /** Expected tokens still to come after {@code produced} tokens. */
  double expectedRemaining(int produced) {
    double now = survival(produced);
    return now <= 0 ? 0 : tail(produced) / now;
  }

  /**
   * Probability that a generation of unknown progress, found running at a random moment, gets
   * {@code more} tokens.
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
