package dev.caroblb.forwarding;

/**
 * Smoothed mean of a measured value plus four times its smoothed mean deviation, as TCP computes
 * its retransmission timeout (RFC 6298).
 */
final class SmoothedUpperBound {
  private static final double MEAN_GAIN = 1.0 / 8;
  private static final double DEVIATION_GAIN = 1.0 / 4;
  private static final int DEVIATIONS = 4;

  private final double initialValue;
  private boolean observed;
  private double mean;
  private double deviation;

  /**
   * @param initialValue the bound before anything was observed
   */
  SmoothedUpperBound(double initialValue) {
    this.initialValue = initialValue;
  }

  void observe(double sample) {
    if (!observed) {
      observed = true;
      mean = sample;
      deviation = sample / 2;
      return;
    }
    deviation += DEVIATION_GAIN * (Math.abs(sample - mean) - deviation);
    mean += MEAN_GAIN * (sample - mean);
  }

  double value() {
    return observed ? mean + DEVIATIONS * deviation : initialValue;
  }
}
