package dev.caroblb.pacing;

/**
 * Finds the rate that a target takes from what happens to its requests. The rate starts low, grows
 * by a factor while the target answers all that it gets, is halved when requests are lost, and then
 * grows in small steps, as a congestion window does. It ends when the target takes all the requests
 * that there are.
 */
final class PaceSearch {
  /** Interval in milliseconds between two decisions; answers of the interval decide. */
  static final long WINDOW_MS = 200;

  /** Factor of the rate after a window without loss, until the first loss. */
  private static final double GROWTH = 1.5;

  /** Factor of the rate after a loss. */
  private static final double BACK_OFF = 0.5;

  /** Factor of the rate in a window in which answers have been slow for a long time. */
  private static final double SLOW_BACK_OFF = 0.85;

  /** Growth after a loss in each window, as a fraction of the first rate. */
  private static final double STEP = 0.2;

  /** Fraction of lost requests from which the rate is lowered. */
  private static final double MAX_LOST = 0.1;

  /**
   * Time in milliseconds after a back-off in which further losses do not count, because they belong
   * to earlier requests. With 500 ms a simulated target that fails above a rate per second got 58%
   * of it.
   */
  private static final long REACTION_MS = 1_000;

  /** Number of windows with mostly slow answers after which the rate is lowered. */
  private static final int MAX_SLOW_WINDOWS = 10;

  /** Multiple of the first rate from which a target without a loss needs no pace. */
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
      backOff(nowMs);
    } else if (held || total == 0) {
      return;
    } else if (mostlySlow) {
      rate = slowWindows < MAX_SLOW_WINDOWS ? rate : Math.max(firstRate, SLOW_BACK_OFF * rate);
    } else if (binding) {
      rate = lossSeen ? rate + STEP * firstRate : rate * GROWTH;
    }
  }

  private void backOff(long nowMs) {
    lossSeen = true;
    if (nowMs - lossMs >= REACTION_MS) {
      lossMs = nowMs;
      rate = Math.max(MIN_FRACTION * firstRate, BACK_OFF * rate);
    }
  }

  private void endIfTaken(long nowMs) {
    long unboundMs = nowMs - unboundSinceMs;
    ended =
        (!lossSeen && rate >= MAX_GROWTH * firstRate)
            || (unboundMs >= satisfiedMs && answeredSince)
            || unboundMs >= Math.max(IDLE_END_MS, satisfiedMs);
  }
}
