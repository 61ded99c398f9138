package dev.caroblb.placement;

/**
 * Predicted memory use of a target, in blocks, at several numbers of decoding steps ahead. Means
 * and variances are sums over the generations, so that one more call is evaluated by an addition.
 */
final class Forecast {
  /** Decoding steps ahead at which memory use is predicted; the last one is the horizon. */
  static final int[] STEPS = {16, 64, 192, 512, 1_024, 2_000};

  // The block count of a report may be off by what changes between two decoding steps.
  private static final double MIN_VARIANCE = 4.0;
  private static final double LOGISTIC_SCALE = 1.702; // logistic approximation of the normal CDF
  // exp(x) is approximated by (1 + x/64)^64, six squarings; the probability is off by < 0.01.
  private static final double EXP_STEP = 1.0 / 64;

  private final double[] mean = new double[STEPS.length];
  private final double[] variance = new double[STEPS.length];
  private double baseCostMs;
  private int totalBlocks;
  private boolean idle;
  private double shareOfInstancesBefore;
  private int longPlacements;

  void clear() {
    for (int i = 0; i < STEPS.length; i++) {
      mean[i] = 0;
      variance[i] = MIN_VARIANCE;
    }
  }

  /** Adds {@code count} new calls that start with {@code blocks} each. */
  void addNewCalls(double count, double blocks, SurvivalCurve curve) {
    for (int i = 0; i < STEPS.length; i++) {
      addAt(i, count, curve.survival(STEPS[i]), blocks);
    }
  }

  /** Adds a generation that holds {@code blocks} and produced {@code tokens}. */
  void addRunning(double blocks, int tokens, SurvivalCurve curve) {
    double now = curve.survival(tokens);
    for (int i = 0; i < STEPS.length; i++) {
      addAt(i, 1, now <= 0 ? 0 : curve.survival(tokens + STEPS[i]) / now, blocks);
    }
  }

  /**
   * Adds generations of unknown progress that held {@code blocks} each when they were reported,
   * {@code steps} decoding steps ago.
   */
  void addWithUnknownProgress(double count, double blocks, int steps, SurvivalCurve curve) {
    for (int i = 0; i < STEPS.length; i++) {
      double grownBlocks = steps / (double) PredictiveSettings.BLOCK_TOKENS;
      addAt(i, count, curve.survivalFromRandomMoment(steps + STEPS[i]), blocks + grownBlocks);
    }
  }

  private void addAt(int stepIndex, double count, double survivalProbability, double blocks) {
    double blocksThen = blocks + STEPS[stepIndex] / (double) PredictiveSettings.BLOCK_TOKENS;
    mean[stepIndex] += count * survivalProbability * blocksThen;
    variance[stepIndex] +=
        count * survivalProbability * (1 - survivalProbability) * blocksThen * blocksThen;
  }

  void addVariance(double blocksSquared) {
    for (int i = 0; i < STEPS.length; i++) {
      variance[i] += blocksSquared;
    }
  }

  /**
   * Starts a new report interval.
   *
   * @param uniformDraw random number from 0 to 1, taken as the share of the other instances that
   *     place their calls before this one
   */
  void startReportInterval(double uniformDraw) {
    shareOfInstancesBefore = uniformDraw;
    longPlacements = 0;
  }

  /** Counts a long call that this instance placed since the report. */
  void countLongPlacement() {
    longPlacements++;
  }

  /**
   * Number of calls to add to the forecast when this instance places one. Other instances act on
   * the same report; counting the calls that they are assumed to place first prevents all instances
   * together from using the same free memory twice.
   *
   * @param callsPerOwn calls that other instances place for each one of this instance
   */
  double competingCalls(double callsPerOwn) {
    return 1 + callsPerOwn * (shareOfInstancesBefore + longPlacements);
  }

  /** Probability that memory fills up within the horizon with {@code addedCalls} more calls. */
  double risk(double totalBlocks, Forecast added, double addedCalls) {
    double lowestMargin = Double.MAX_VALUE;
    for (int i = 0; i < STEPS.length; i++) {
      double freeBlocks = totalBlocks - mean[i] - addedCalls * added.mean[i];
      double totalVariance = variance[i] + addedCalls * added.variance[i];
      // Compares signed squares, which leaves one square root to compute after the loop.
      lowestMargin = Math.min(lowestMargin, freeBlocks * Math.abs(freeBlocks) / totalVariance);
    }
    return tailProbability(Math.copySign(Math.sqrt(Math.abs(lowestMargin)), lowestMargin));
  }

  /** Probability that a standard normal value exceeds {@code z}. */
  static double tailProbability(double z) {
    double exponent = Math.max(-30, Math.min(30, LOGISTIC_SCALE * z));
    double power = 1 + exponent * EXP_STEP;
    for (int i = 0; i < 6; i++) {
      power *= power;
    }
    return 1 / (1 + power);
  }

  void capacity(int blocks, boolean nothingRuns) {
    totalBlocks = blocks;
    idle = nothingRuns;
  }

  /** Memory of the target in blocks; 0 when it has none or has not reported yet. */
  int totalBlocks() {
    return totalBlocks;
  }

  /** Whether nothing runs at the target; an idle target accepts any call. */
  boolean idle() {
    return idle;
  }

  void baseCostMs(double costMs) {
    baseCostMs = costMs;
  }

  /** Cost of the target before the call is added, in milliseconds. */
  double baseCostMs() {
    return baseCostMs;
  }

  double mean(int stepIndex) {
    return mean[stepIndex];
  }
}
