package dev.caroblb.placement;

/**
 * Knobs of the predictive policy; docs/policy.md says which to turn for which sign.
 *
 * @param maxRisk probability of full memory above which a call waits instead
 * @param riskCostMs cost of certainly filled memory: time to compute a preempted generation again
 * @param waitingCostMs cost of each generation that waits at the target
 * @param runningCostMs cost of each generation in the batch, by its longer steps
 * @param prefillMsPerToken time to compute a prompt token, saved where its prefix is cached
 * @param tieMs candidates within this of the best are chosen from at random
 * @param othersTrust part of the difference between a target's load by others and the typical one
 *     that is believed; the rest is gone when a call arrives, because all instances react to it
 */
public record PredictiveSettings(
    double maxRisk,
    double riskCostMs,
    double waitingCostMs,
    double runningCostMs,
    double prefillMsPerToken,
    double tieMs,
    double othersTrust) {
  /** Tokens in a block of engine memory; 16 is the usual size of paged attention. */
  public static final int BLOCK_TOKENS = 16;

  /** Values used unless an instance sets others; docs/measurements.md has the runs behind them. */
  public static PredictiveSettings defaults() {
    return new PredictiveSettings(0.10, 500, 400, 50, 0.1, 4, 0.25);
  }

  /** The same settings with one knob changed; the name is that of the component. */
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
