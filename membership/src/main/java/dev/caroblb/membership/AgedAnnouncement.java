package dev.caroblb.membership;

/**
 * An announcement together with the time since an instance received it from the target. The age is
 * a duration because clocks of two instances cannot be compared; without it a forwarded record of a
 * dead target would look like a sign of life.
 */
public record AgedAnnouncement(Announcement announcement, long ageMs) {
  public AgedAnnouncement {
    if (ageMs < 0) {
      throw new IllegalArgumentException("an age cannot be negative: " + ageMs + " ms");
    }
  }
}
