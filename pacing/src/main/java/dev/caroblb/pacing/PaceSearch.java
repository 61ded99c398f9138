package dev.caroblb.pacing;

/**
 * Finds the rate that a target takes from what happens to its requests. The rate starts low, grows
 * by a factor while the target answers all that it gets, is lowered when requests are lost, and
 * then grows in steps, small ones near the rate of the last loss, as a congestion window does. It
 * ends when the target takes all the requests that there are.
 */
final class PaceSearch {
  /** Interval in milliseconds between two decisions; answers of the interval decide. */
  static final long WINDOW_MS = 200;

  /** Factor of the rate after a window without loss, until the first loss. */
  private static final double GROWTH = 1.5;

  /** Factor of the rate after a loss. */
  private static final double BACK_OFF = 0.6;

  /** Factor of the rate in a window in which answers have been slow for a long time. */
  private static final double SLOW_BACK_OFF = 0.85;

  /** Factor of the rate after a window in which most requests were lost. */
  private static final double MOSTLY_LOST_BACK_OFF = 0.4;

  /** Growth after a loss in each window, as a fraction of the first rate. */
  private static final double STEP = 0.2;

  /** Growth in each window near the rate of the last loss, as a fraction of the first rate. */
  private static final double NEAR_LOSS_STEP = 0.05;

  /** Fraction of the rate of the last loss from which the rate is near it. */
  private static final double NEAR_LOSS = 0.8;

  /** Multiple of the rate of the last loss from which that loss says nothing any more. */
  private static final double BEYOND_LOSS = 1.25;

  /** Factor of the rate in each window beyond the rate of the last loss. */
  private static final double GROWTH_BEYOND_LOSS = 1.1;

  /** Fraction of lost requests from which the rate is lowered. */
  private static final double MAX_LOST = 0.1;

  /**
   * Time in milliseconds after a back-off in which further losses do not count, because they belong
   * to earlier requests.
   */
  private static final long REACTION_MS = 1_500;

  /** The same for a target that loses most of its requests. */
  private static final long MOSTLY_LOST_REACTION_MS = 500;

  /** Time in milliseconds after a back-off in which a further one belongs to the same loss. */
  private static final long SAME_LOSS_MS = 3_000;

  /** Number of windows with mostly slow answers after which the rate is lowered. */
  private static final int MAX_SLOW_WINDOWS = 10;

  /**
   * Number of windows with mostly slow answers after which the target counts as slow by nature, and
   * its rate grows in small steps. It would stay paced as long as there is demand otherwise.
   */
  private static final int MAX_HELD_SLOW_WINDOWS = 50;

  /**
   * Multiple of the first rate that a target without a loss must take for a while. Ending a search
   * as soon as the rate was reached flooded a simulated target, since its losses were not reported
   * yet.
   */
  private static final double MAX_GROWTH = 16;

  /** Lowest rate, as a fraction of the first rate. */
  private static final double MIN_FRACTION = 0.125;

  /** Time in milliseconds without demand beyond the rate after which the search ends. */
  private static final long IDLE_END_MS = 10_000;

  private final double firstRate;
  private final long satisfiedMs;
  private double rate;
  private boolean lossSeen;
  private long answered;
  private long slow;
  private long lost;
  private boolean binding;
  private boolean answeredSince;
  private int slowWindows;
  private long windowEndMs;
  private long lossMs = Long.MIN_VALUE / 2;
  private long highestSinceMs = Long.MAX_VALUE;
  private double lossRate = Double.POSITIVE_INFINITY;
  private long unboundSinceMs;
  private boolean ended;

  /**
   * @param firstRate requests per second that the target takes in any case
   * @param rate requests per second to begin with
   * @param cautious whether the rate grows in small steps from the beginning, because the target
   *     lost requests lately
   * @param satisfiedMs time in milliseconds for which the target must take all requests
   */
  PaceSearch(double firstRate, double rate, boolean cautious, long satisfiedMs, long nowMs) {
    this.firstRate = firstRate;
    this.rate = rate;
    this.lossSeen = cautious;
    this.satisfiedMs = satisfiedMs;
    windowEndMs = nowMs + WINDOW_MS;
    unboundSinceMs = nowMs;
  }

  double perSecond() {
    return rate;
  }

  boolean ended() {
    return ended;
  }

  void add(RunOutcomes outcomes) {
    answered += outcomes.answered();
    slow += outcomes.slow();
    lost += outcomes.lost();
  }

  /** Records that a request could not be sent to the target because of its rate. */
  void denied() {
    binding = true;
  }

  /**
   * Decides at the end of each window; returns whether the rate changed or the search ended.
   *
   * @param held whether another source limits the target, so that its answers say nothing about
   *     this rate
   */
  boolean decide(boolean held, long nowMs) {
    if (nowMs < windowEndMs) {
      return false;
    }
    windowEndMs = nowMs + WINDOW_MS;
    if (held || binding || lost > 0) {
      unboundSinceMs = nowMs;
      answeredSince = false;
    }
    answeredSince |= answered > 0;
    double before = rate;
    changeRate(held, nowMs);
    endIfTaken(nowMs);
    answered = 0;
    slow = 0;
    lost = 0;
    binding = false;
    return ended || rate != before;
  }

  private void changeRate(boolean held, long nowMs) {
    long total = answered + slow + lost;
    boolean mostlySlow = slow * 2 > total;
    slowWindows = mostlySlow ? slowWindows + 1 : 0;
    if (lost > MAX_LOST * total) {
      backOff(lost * 2 > total, nowMs);
    } else if (held || total == 0) {
      return;
    } else if (mostlySlow && slowWindows < MAX_HELD_SLOW_WINDOWS) {
      boolean lowered = slowWindows >= MAX_SLOW_WINDOWS && rate > firstRate;
      rate = lowered ? Math.max(firstRate, SLOW_BACK_OFF * rate) : rate;
    } else if (binding) {
      rate = mostlySlow ? rate + NEAR_LOSS_STEP * firstRate : grown();
    }
  }

  private double grown() {
    if (!lossSeen) {
      return Math.min(MAX_GROWTH * firstRate, rate * GROWTH);
    }
    if (rate < NEAR_LOSS * lossRate) {
      return rate + STEP * firstRate;
    }
    return rate < BEYOND_LOSS * lossRate
        ? rate + NEAR_LOSS_STEP * firstRate
        : rate * GROWTH_BEYOND_LOSS;
  }

  private void backOff(boolean mostlyLost, long nowMs) {
    lossSeen = true;
    if (nowMs - lossMs < (mostlyLost ? MOSTLY_LOST_REACTION_MS : REACTION_MS)) {
      return;
    }
    lossRate = nowMs - lossMs >= SAME_LOSS_MS ? rate : lossRate;
    lossMs = nowMs;
    double factor = mostlyLost ? MOSTLY_LOST_BACK_OFF : BACK_OFF;
    rate = Math.max(MIN_FRACTION * firstRate, factor * rate);
  }

  private void endIfTaken(long nowMs) {
    long unboundMs = nowMs - unboundSinceMs;
    boolean highest = !lossSeen && rate >= MAX_GROWTH * firstRate;
    highestSinceMs = highest ? Math.min(highestSinceMs, nowMs) : Long.MAX_VALUE;
    ended =
        (highest && nowMs - highestSinceMs >= satisfiedMs)
            || (unboundMs >= satisfiedMs && answeredSince)
            || unboundMs >= Math.max(IDLE_END_MS, satisfiedMs);
  }
}
