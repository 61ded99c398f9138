package dev.caroblb.pacing;

/**
 * Rate of the permits of one bucket.
 *
 * @param perSecond permits per second
 * @param accruedSeconds time in seconds for which unused permits accrue, if that is more than one
 * @param expiring whether a single permit that is not used expires
 */
record Pace(double perSecond, double accruedSeconds, boolean expiring) {
  /**
   * Time in seconds for which unused permits of a target with a stated limit accrue, if that is
   * more than one permit.
   */
  private static final double STATED_ACCRUED_SECONDS = 0.5;

  /**
   * Time in seconds for which unused permits of a paced target accrue. In any one second the
   * permits stay below 1.5 times the rate also while instances without contact use their shares.
   */
  private static final double PACED_ACCRUED_SECONDS = 0.1;

  /**
   * Share of a rate below which permits expire. Many instances with one unused permit each would
   * exceed the rate when all of them use it in the same second.
   */
  private static final double EXPIRING_BELOW_SHARE = 0.2;

  /** The pace of a target that is limited only by what it names. */
  static Pace stated(double share, double perSecond) {
    return new Pace(share * perSecond, STATED_ACCRUED_SECONDS, false);
  }

  /** The pace of a target that is cold or whose rate is learned. */
  static Pace paced(double share, double perSecond) {
    return new Pace(share * perSecond, PACED_ACCRUED_SECONDS, share < EXPIRING_BELOW_SHARE);
  }

  /** Number of permits that accrue at most. */
  double capacity() {
    return Math.max(1, perSecond * accruedSeconds);
  }
}
