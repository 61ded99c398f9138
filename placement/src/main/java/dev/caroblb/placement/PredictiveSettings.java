package dev.caroblb.placement;

/**
 * Parameters of the predictive policy; docs/policy.md describes how to tune them.
 *
 * @param maxRisk probability of full memory above which a call waits
 * @param riskCostMs cost at a risk of 1: the time to recompute a preempted generation
 * @param waitingCostMs cost of each generation that waits at the target
 * @param runningCostMs cost of each generation in the batch, which lengthens its decoding steps
 * @param prefillMsPerToken time to compute a prompt token, saved where its prefix is cached
 * @param tieMs candidates whose cost is within this of the lowest are chosen from at random
 * @param othersTrust fraction of the difference between the load of other instances at a target and
 *     their average load that is expected to last; the rest is gone when the call arrives, because
 *     all instances react to the same reports
 */
public record PredictiveSettings(
    double maxRisk,
    double riskCostMs,
    double waitingCostMs,
    double runningCostMs,
    double prefillMsPerToken,
    double tieMs,
    double othersTrust) {
  /** Tokens per block of engine memory; 16 is the usual block size of paged attention. */
  public static final int BLOCK_TOKENS = 16;

  /** Default values; see docs/measurements.md. */
  public static PredictiveSettings defaults() {
    return new PredictiveSettings(0.10, 500, 400, 50, 0.1, 4, 0.25);
  }

  /** Returns a copy with one parameter changed; the name is that of the record component. */
  public PredictiveSettings with(String name, double value) {
    return new PredictiveSettings(
        name.equals("maxRisk") ? value : maxRisk,
        name.equals("riskCostMs") ? value : riskCostMs,
        name.equals("waitingCostMs") ? value : waitingCostMs,
        name.equals("runningCostMs") ? value : runningCostMs,
        name.equals("prefillMsPerToken") ? value : prefillMsPerToken,
        name.equals("tieMs") ? value : tieMs,
        name.equals("othersTrust") ? value : othersTrust);
  }
}
