package dev.caroblb.bench;

import java.util.List;
import java.util.Locale;

/** Workloads on which the policies are compared. */
enum Workload {
  /** Many readings with heavy-tailed output lengths, plus batches of checks. */
  RECEIPTS(30, 90),
  /** Plans with very long outputs, plus sorts. */
  STAFFING(120, 240),
  /** All types of calls, most of them from a few large workspaces. */
  MIX(60, 120),
  /** Receipts with a burst at twice the capacity. */
  BURST(30, 90),
  /** Receipts with the loss of two engines. */
  LOSS(30, 90),
  /** Receipts with load reports that are 5 s old. */
  STALE(30, 90);

  static final int WORKSPACES = 10;
  private static final double[] SKEWED_WORKSPACE_SHARES = {
    .35, .25, .15, .05, .04, .04, .03, .03, .03, .03
  };
  private static final double[] MILDLY_SKEWED_WORKSPACE_SHARES = {
    .2, .16, .12, .1, .1, .08, .08, .06, .06, .04
  };
  private static final long BURST_START_AFTER_WARMUP_US = 20_000_000;
  private static final long BURST_DURATION_US = 15_000_000;

  private final long warmupUs;
  private final long measureUs;

  Workload(int warmupS, int measureS) {
    this.warmupUs = warmupS * 1_000_000L;
    this.measureUs = measureS * 1_000_000L;
  }

  /** A type of call with its weight: its number of calls relative to the other types. */
  record WeightedCallType(CallType type, int weight) {}

  /** Types of calls that arrive, with their weights. */
  List<WeightedCallType> callTypes() {
    return switch (this) {
      case STAFFING ->
          List.of(new WeightedCallType(CallType.PLAN, 1), new WeightedCallType(CallType.SORT, 4));
      case MIX ->
          List.of(
              new WeightedCallType(CallType.READING, 6),
              new WeightedCallType(CallType.CHECK, 12),
              new WeightedCallType(CallType.PLAN, 1),
              new WeightedCallType(CallType.SORT, 2));
      default ->
          List.of(
              new WeightedCallType(CallType.READING, 1), new WeightedCallType(CallType.CHECK, 3));
    };
  }

  /** Share of all calls that are of the given type. */
  double shareOfCalls(WeightedCallType weighted) {
    return weighted.weight()
        / (double) callTypes().stream().mapToInt(WeightedCallType::weight).sum();
  }

  /** Time for the policies to learn estimates; calls that arrive in it are not measured. */
  long warmupUs() {
    return warmupUs;
  }

  long endUs() {
    return warmupUs + measureUs;
  }

  double[] workspaceShares() {
    return this == STAFFING
        ? MILDLY_SKEWED_WORKSPACE_SHARES.clone()
        : SKEWED_WORKSPACE_SHARES.clone();
  }

  /** Load at the given time, relative to capacity: the configured one outside of a burst. */
  double loadAt(double load, long atUs) {
    long sinceBurstStartUs = atUs - warmupUs - BURST_START_AFTER_WARMUP_US;
    return this == BURST && sinceBurstStartUs >= 0 && sinceBurstStartUs < BURST_DURATION_US
        ? 2.0
        : load;
  }

  /** Minimum age of a load report when it is sent. */
  long loadLagUs() {
    return this == STALE ? 5_000_000 : 200_000;
  }

  boolean losesEngines() {
    return this == LOSS;
  }

  String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
