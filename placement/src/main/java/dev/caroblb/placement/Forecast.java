package dev.caroblb.placement;

/**
 * Expected use of a target's memory at a few moments ahead, in decoding steps. Means and variances
 * add up over the running set, so that the effect of one more call is an addition.
 */
final class Forecast {
  /** Moments at which the use is predicted; the last one is the horizon. */
  static final int[] STEPS = {16, 64, 192, 512, 1_024, 2_000};

  // A block count of a report may be off by what changes between two steps.
  private static final double MIN_VARIANCE = 4.0;
  private static final double LOGISTIC_SCALE = 1.702; // logistic approximation of the normal
  // Terms of (1 + x/n)^n for the exponential function; the error is below 0.01 in probability.
  private static final double EXP_STEP = 1.0 / 64;

  private final double[] mean = new double[STEPS.length];
  private final double[] variance = new double[STEPS.length];
  private double baseCostMs;
  private int totalBlocks;
  private boolean idle;
  private double instanceOrder;
  private int longPlacements;

  void clear() {
    for (int i = 0; i < STEPS.length; i++) {
      mean[i] = 0;
      variance[i] = MIN_VARIANCE;
    }
  }

  /** Adds {@code count} new calls that start with {@code blocks} each. */
  void add(double count, double blocks, SurvivalCurve curve) {
    for (int i = 0; i < STEPS.length; i++) {
      addAt(i, count, curve.survival(STEPS[i]), blocks);
    }
  }

  /** Adds a generation that holds {@code blocks} and produced {@code tokens}. */
  void add(double blocks, int tokens, SurvivalCurve curve) {
    double now = curve.survival(tokens);
    for (int i = 0; i < STEPS.length; i++) {
      addAt(i, 1, now <= 0 ? 0 : curve.survival(tokens + STEPS[i]) / now, blocks);
    }
  }

  /** Adds generations of unknown progress, last seen {@code steps} ago with {@code blocks} each. */
  void addWithUnknownProgress(double count, double blocks, int steps, SurvivalCurve curve) {
    for (int i = 0; i < STEPS.length; i++) {
      double grownBlocks = steps / (double) PredictiveSettings.BLOCK_TOKENS;
      addAt(i, count, curve.survivalFromRandomMoment(steps + STEPS[i]), blocks + grownBlocks);
    }
  }

  private void addAt(int step, double count, double stillRunning, double blocks) {
    double blocksThen = blocks + STEPS[step] / (double) PredictiveSettings.BLOCK_TOKENS;
    mean[step] += count * stillRunning * blocksThen;
    variance[step] += count * stillRunning * (1 - stillRunning) * blocksThen * blocksThen;
  }

  void addVariance(double blocksSquared) {
    for (int i = 0; i < STEPS.length; i++) {
      variance[i] += blocksSquared;
    }
  }

  /** Starts a new report interval; {@code drawn} is uniform in 0 to 1. */
  void startReportInterval(double uniformDraw) {
    instanceOrder = uniformDraw;
    longPlacements = 0;
  }

  /** Takes in that this instance placed a long call since the report. */
  void countLongPlacement() {
    longPlacements++;
  }

  /**
   * Calls to count where this instance adds one, when others each add as many: the drawn ticket
   * stands for those that place before this instance, so that all together use the room once.
   */
  double competingCalls(double callsPerOwn) {
    return 1 + callsPerOwn * (instanceOrder + longPlacements);
  }

  /** Probability that memory of {@code totalBlocks} fills within the horizon, with more calls. */
  double risk(double totalBlocks, Forecast added, double addedCalls) {
    double lowestMargin = Double.MAX_VALUE;
    for (int i = 0; i < STEPS.length; i++) {
      double freeBlocks = totalBlocks - mean[i] - addedCalls * added.mean[i];
      double totalVariance = variance[i] + addedCalls * added.variance[i];
      // Comparing signed squares saves all square roots but one.
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

  /** Blocks of memory of the target; 0 when it has none or did not report yet. */
  int totalBlocks() {
    return totalBlocks;
  }

  /** Whether nothing runs there; such a target takes any call. */
  boolean idle() {
    return idle;
  }

  void baseCostMs(double costMs) {
    baseCostMs = costMs;
  }

  /** Cost of the target before the call is added. */
  double baseCostMs() {
    return baseCostMs;
  }

  double mean(int step) {
    return mean[step];
  }
}
