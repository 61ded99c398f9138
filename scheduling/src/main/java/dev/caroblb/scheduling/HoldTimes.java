package dev.caroblb.scheduling;

/**
 * How long generations hold their memory, by size, learned from those that ended. Sizes are divided
 * into classes of half a power of two.
 */
final class HoldTimes {
  private static final int CLASSES = 64;

  /** Number of ends from which the mean of a class is used. */
  private static final int MIN_ENDS = 4;

  /** Weight of one end in the moving average; follows a change of the engines in some tens. */
  private static final double WEIGHT = 0.05;

  private final double[] meanMs = new double[CLASSES];
  private final int[] ends = new int[CLASSES];
  private final long[] openTokens = new long[CLASSES];
  private final long[] openRequests = new long[CLASSES];

  static int sizeClass(long tokens) {
    double halves = 2 * Math.log((double) Math.max(1, tokens)) / Math.log(2);
    return Math.min(CLASSES - 1, (int) halves);
  }

  void started(long tokens) {
    openTokens[sizeClass(tokens)] += tokens;
    openRequests[sizeClass(tokens)]++;
  }

  /** Removes a generation without learning from it. */
  void forgotten(long tokens) {
    openTokens[sizeClass(tokens)] -= tokens;
    openRequests[sizeClass(tokens)]--;
  }

  void ended(long tokens, long heldMs) {
    forgotten(tokens);
    int size = sizeClass(tokens);
    ends[size]++;
    double weight = Math.max(WEIGHT, 1.0 / ends[size]);
    meanMs[size] += weight * (Math.max(1, heldMs) - meanMs[size]);
  }

  /** Tokens per millisecond that the open generations free on average while they run. */
  double tokensPerMs() {
    return perMs(openTokens);
  }

  /** Places per millisecond that the open generations free on average while they run. */
  double requestsPerMs() {
    return perMs(openRequests);
  }

  private double perMs(long[] open) {
    double rate = 0;
    for (int i = 0; i < CLASSES; i++) {
      if (ends[i] >= MIN_ENDS) {
        rate += open[i] / meanMs[i];
      }
    }
    return rate;
  }
}
