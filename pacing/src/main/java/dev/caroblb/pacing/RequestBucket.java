package dev.caroblb.pacing;

/** Token bucket: permits accrue at a rate and are used by requests. */
public final class RequestBucket {
  private static final double MS_PER_SECOND = 1_000;

  /** Time in milliseconds for which an unused permit of an expiring pace is available. */
  private static final double PERMIT_LIFETIME_MS = 500;

  private double permits;
  private long updatedMs;

  /** Creates an empty bucket, in which permits accrue from a time on. */
  public RequestBucket(long fromMs) {
    updatedMs = fromMs;
  }

  /** Whether a permit is available. */
  boolean available(Pace pace, long nowMs) {
    accrue(pace, nowMs);
    return permits >= 1;
  }

  /** Uses a permit, also one that is not available yet. */
  void take(Pace pace, long nowMs) {
    accrue(pace, nowMs);
    permits--;
  }

  /** Time in milliseconds until a permit is available. */
  long waitMs(Pace pace, long nowMs) {
    accrue(pace, nowMs);
    if (permits >= 1) {
      return 0;
    }
    return updatedMs - nowMs + (long) Math.ceil((1 - permits) / pace.perSecond() * MS_PER_SECOND);
  }

  /** Removes the permits that have accrued; further ones accrue from a time on. */
  public void empty(long fromMs) {
    empty(fromMs, 0);
  }

  /**
   * Removes the permits that have accrued.
   *
   * @param fromMs time from which further ones accrue
   * @param phase fraction of a permit by which the first one is delayed, so that the permits of
   *     many instances are spread over time
   */
  void empty(long fromMs, double phase) {
    permits = Math.min(-phase, permits);
    updatedMs = fromMs;
  }

  private void accrue(Pace pace, long nowMs) {
    double rate = pace.perSecond();
    double accrued = permits + rate * Math.max(0, nowMs - updatedMs) / MS_PER_SECOND;
    boolean expiring = pace.expiring() && rate * PERMIT_LIFETIME_MS < MS_PER_SECOND;
    permits = expiring ? withoutExpired(accrued, rate) : Math.min(pace.capacity(), accrued);
    updatedMs = Math.max(updatedMs, nowMs);
  }

  /** Keeps the latest permit, if it has not expired, and the part of the next one. */
  private static double withoutExpired(double accrued, double rate) {
    if (accrued < 1) {
      return accrued;
    }
    double part = accrued - Math.floor(accrued);
    return part / rate * MS_PER_SECOND <= PERMIT_LIFETIME_MS ? 1 + part : part;
  }
}
