package dev.caroblb.bench;

import java.util.List;
import java.util.Locale;

/** Situations in which the policies are compared. */
enum Workload {
  /** Many readings of heavy-tailed length plus batches of checks. */
  RECEIPTS(30, 90),
  /** Very long plans plus sorts. */
  STAFFING(120, 240),
  /** All calls, most from a few large workspaces. */
  MIX(60, 120),
  /** Receipts with a burst to twice capacity. */
  BURST(30, 90),
  /** Receipts with the loss of two engines. */
  LOSS(30, 90),
  /** Receipts with reports that are seconds old. */
  STALE(30, 90);

  static final int WORKSPACES = 10;
  private static final double[] SKEWED_WORKSPACE_SHARES = {
    .35, .25, .15, .05, .04, .04, .03, .03, .03, .03
  };
  private static final double[] MILDLY_SKEWED_WORKSPACE_SHARES = {
    .2, .16, .12, .1, .1, .08, .08, .06, .06, .04
  };
  private static final long BURST_START_US = 20_000_000;
  private static final long BURST_DURATION_US = 15_000_000;

  private final long warmupUs;
  private final long measureUs;

  Workload(int warmupS, int measureS) {
    this.warmupUs = warmupS * 1_000_000L;
    this.measureUs = measureS * 1_000_000L;
  }

  /** A type of call with its number of calls relative to the other types. */
  record WeightedCallType(CallType type, int weight) {}

  /** Types of call that arrive. */
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

  /** Share of all calls that are of a part. */
  double shareOfCalls(WeightedCallType part) {
    return part.weight() / (double) callTypes().stream().mapToInt(WeightedCallType::weight).sum();
  }

  /** Time in which estimates are learned; calls that arrive in it are not measured. */
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

  /** Factor on the rate of arrivals at a moment, for a load relative to capacity. */
  double loadAt(double load, long atUs) {
    long intoBurstUs = atUs - warmupUs - BURST_START_US;
    return this == BURST && intoBurstUs >= 0 && intoBurstUs < BURST_DURATION_US ? 2.0 : load;
  }

  /** Age of a load report when it is sent. */
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
