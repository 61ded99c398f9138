package dev.caroblb.membership;

/**
 * An announcement together with the time since an instance received it from the target. The age is
 * a duration because the clocks of two instances cannot be compared. Without it, a forwarded
 * announcement of a dead target would make the target appear alive.
 */
public record AgedAnnouncement(Announcement announcement, long ageMs) {
  public AgedAnnouncement {
    if (ageMs < 0) {
      throw new IllegalArgumentException("an age cannot be negative: " + ageMs + " ms");
    }
  }

  /** Time in milliseconds for which the target still stays cold. */
  public long warmUpLeftMs() {
    return Math.max(0, announcement.warmUpLeftMs() - ageMs);
  }
}
