package dev.caroblb.placement;

/**
 * What the other entry instances do with the targets of one kind: their share of the load, learned
 * from reports, and how many calls they probably placed since a report was made.
 */
final class OtherInstances {
  private static final double RATE_HALF_LIFE_MS = 10_000;
  private static final double RUNNING_WEIGHT = 0.02;
  // Beyond this age a report says nothing about arrivals any more.
  private static final long MAX_REPORT_AGE_MS = 3_000;

  private static final long REPORT_INTERVAL_MS = 1_000;
  private static final double DECLINED_WEIGHT = 0.05;
  // Part of the placements that are long calls; short ones come in batches and take little memory.
  private static final double LONG_SHARE = 0.25;

  private double placements;
  private long placementsAtMs;
  private double averageOwnRunning;
  private double averageOthersRunning;
  private double declinedShare;

  /** Takes in a placement of this instance. */
  void placed(long nowMs) {
    placements = decayedPlacements(nowMs) + 1;
    placementsAtMs = nowMs;
  }

  /** Takes in how many generations a target runs for this instance and for others. */
  void reported(int ownRunning, int othersRunning) {
    averageOwnRunning += RUNNING_WEIGHT * (ownRunning - averageOwnRunning);
    averageOthersRunning += RUNNING_WEIGHT * (othersRunning - averageOthersRunning);
  }

  /** Takes in whether a long call of this instance found room. */
  void recordLongCall(boolean foundRoom) {
    declinedShare += DECLINED_WEIGHT * ((foundRoom ? 0 : 1) - declinedShare);
  }

  /**
   * Long calls that others probably place for each one of this instance within a report interval:
   * as many as they are when calls wait everywhere, and only the usual arrivals when none wait.
   */
  double longCallsPerOwn(int targets, long nowMs) {
    double loadRatio = averageOwnRunning <= 0 ? 0 : averageOthersRunning / averageOwnRunning;
    double arrivals =
        Math.min(loadRatio, expectedPlacements(REPORT_INTERVAL_MS, targets, nowMs) * LONG_SHARE);
    return declinedShare * loadRatio + (1 - declinedShare) * arrivals;
  }

  /** Generations of other instances at a typical target. */
  double typicalRunning() {
    return averageOthersRunning;
  }

  private double decayedPlacements(long nowMs) {
    return placements * Math.pow(0.5, (nowMs - placementsAtMs) / RATE_HALF_LIFE_MS);
  }

  /** Calls that others probably placed at one of {@code targets} targets in the given time. */
  double expectedPlacements(long ageMs, int targets, long nowMs) {
    if (averageOwnRunning <= 0 || targets == 0) {
      return 0;
    }
    double ownPerMs = decayedPlacements(nowMs) * Math.log(2) / RATE_HALF_LIFE_MS;
    return ownPerMs
        * (averageOthersRunning / averageOwnRunning)
        * Math.min(ageMs, MAX_REPORT_AGE_MS)
        / targets;
  }
}
