package dev.caroblb.placement;

/**
 * What the other entry instances do with the targets of one kind: their share of the load, learned
 * from reports, and how many calls they probably placed since a report was made.
 */
final class OtherInstances {
  private static final double RATE_HALF_LIFE_MS = 10_000;
  private static final double SHARE_WEIGHT = 0.02;
  // Beyond this age a report says nothing about arrivals any more.
  private static final long MAX_AGE_MS = 3_000;

  private static final long REPORT_MS = 1_000;
  private static final double REFUSED_WEIGHT = 0.05;
  // Part of the placements that are long calls; short ones come in batches and take little memory.
  private static final double LONG_SHARE = 0.25;

  private double placements;
  private long placementsAtMs;
  private double own;
  private double others;
  private double refusedShare;

  /** Takes in a placement of this instance. */
  void placed(long nowMs) {
    placements = placements(nowMs) + 1;
    placementsAtMs = nowMs;
  }

  /** Takes in how many generations a target runs for this instance and for others. */
  void reported(int ownRunning, int othersRunning) {
    own += SHARE_WEIGHT * (ownRunning - own);
    others += SHARE_WEIGHT * (othersRunning - others);
  }

  /** Takes in whether a long call of this instance found room. */
  void tried(boolean foundRoom) {
    refusedShare += REFUSED_WEIGHT * ((foundRoom ? 0 : 1) - refusedShare);
  }

  /**
   * Long calls that others probably place for each one of this instance within a report interval:
   * as many as they are when calls wait everywhere, and only the usual arrivals when none wait.
   */
  double rivals(int targets, long nowMs) {
    double perOwn = own <= 0 ? 0 : others / own;
    double arrivals = Math.min(perOwn, expectedPlacements(REPORT_MS, targets, nowMs) * LONG_SHARE);
    return refusedShare * perOwn + (1 - refusedShare) * arrivals;
  }

  /** Generations of other instances at a typical target. */
  double typicalRunning() {
    return others;
  }

  private double placements(long nowMs) {
    return placements * Math.pow(0.5, (nowMs - placementsAtMs) / RATE_HALF_LIFE_MS);
  }

  /** Calls that others probably placed at one of {@code targets} targets in the given time. */
  double expectedPlacements(long ageMs, int targets, long nowMs) {
    if (own <= 0 || targets == 0) {
      return 0;
    }
    double ownPerMs = placements(nowMs) * Math.log(2) / RATE_HALF_LIFE_MS;
    return ownPerMs * (others / own) * Math.min(ageMs, MAX_AGE_MS) / targets;
  }
}
