package dev.caroblb.placement;

/**
 * Estimates the load that other entry instances put on the targets of one model or service: their
 * share of the running generations, learned from load reports, and the calls that they placed since
 * a report was made.
 */
final class OtherInstances {
  private static final double RATE_HALF_LIFE_MS = 10_000;
  private static final double RUNNING_WEIGHT = 0.02;
  // Beyond this age of a report the number of arrivals is unknown and its estimate stops growing.
  private static final long MAX_REPORT_AGE_MS = 3_000;

  private static final long REPORT_INTERVAL_MS = 1_000;
  private static final double DECLINED_WEIGHT = 0.05;
  // Fraction of placements that are long calls; short ones come in batches and use little memory.
  private static final double LONG_SHARE = 0.25;

  private double placements;
  private long placementsAtMs;
  private double averageOwnRunning;
  private double averageOthersRunning;
  private double declinedShare;

  /** Records a placement of this instance. */
  void placed(long nowMs) {
    placements = decayedPlacements(nowMs) + 1;
    placementsAtMs = nowMs;
  }

  /** Records how many generations a target runs for this instance and for others. */
  void reported(int ownRunning, int othersRunning) {
    averageOwnRunning += RUNNING_WEIGHT * (ownRunning - averageOwnRunning);
    averageOthersRunning += RUNNING_WEIGHT * (othersRunning - averageOthersRunning);
  }

  /** Records whether a long call of this instance found a target. */
  void recordLongCall(boolean placed) {
    declinedShare += DECLINED_WEIGHT * ((placed ? 0 : 1) - declinedShare);
  }

  /**
   * Expected number of long calls that other instances place for each one of this instance within a
   * report interval. It follows their share of the load while calls wait at all instances, and
   * their usual arrivals while none wait.
   */
  double longCallsPerOwn(int targets, long nowMs) {
    double loadRatio = averageOwnRunning <= 0 ? 0 : averageOthersRunning / averageOwnRunning;
    double arrivals =
        Math.min(loadRatio, expectedPlacements(REPORT_INTERVAL_MS, targets, nowMs) * LONG_SHARE);
    return declinedShare * loadRatio + (1 - declinedShare) * arrivals;
  }

  /** Average number of generations of other instances at a target. */
  double typicalRunning() {
    return averageOthersRunning;
  }

  private double decayedPlacements(long nowMs) {
    return placements * Math.pow(0.5, (nowMs - placementsAtMs) / RATE_HALF_LIFE_MS);
  }

  /** Expected calls of other instances at one of {@code targets} targets in the given time. */
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
