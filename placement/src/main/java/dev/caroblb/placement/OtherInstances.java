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

  private double placements;
  private long placementsAtMs;
  private double own;
  private double others;

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
