package dev.caroblb.pacing;

/** Token bucket: permits accrue at a rate and are used by requests. */
public final class RequestBucket {
  private static final double MS_PER_SECOND = 1_000;

  /** Time in seconds for which unused permits accrue, if that is more than one permit. */
  private static final double MAX_ACCRUED_SECONDS = 0.5;

  private double permits;
  private long updatedMs;

  /** Creates an empty bucket, in which permits accrue from a time on. */
  public RequestBucket(long fromMs) {
    updatedMs = fromMs;
  }

  /** Whether a permit is available. */
  public boolean available(double perSecond, long nowMs) {
    accrue(perSecond, nowMs);
    return permits >= 1;
  }

  /** Uses a permit, also one that is not available yet. */
  public void take(double perSecond, long nowMs) {
    accrue(perSecond, nowMs);
    permits--;
  }

  /** Time in milliseconds until a permit is available. */
  public long waitMs(double perSecond, long nowMs) {
    accrue(perSecond, nowMs);
    if (permits >= 1) {
      return 0;
    }
    return updatedMs - nowMs + (long) Math.ceil((1 - permits) / perSecond * MS_PER_SECOND);
  }

  /** Removes the permits that have accrued; further ones accrue from a time on. */
  public void empty(long fromMs) {
    permits = Math.min(0, permits);
    updatedMs = fromMs;
  }

  private void accrue(double perSecond, long nowMs) {
    double capacity = Math.max(1, perSecond * MAX_ACCRUED_SECONDS);
    double accrued = permits + perSecond * Math.max(0, nowMs - updatedMs) / MS_PER_SECOND;
    permits = Math.min(capacity, accrued);
    updatedMs = Math.max(updatedMs, nowMs);
  }
}
