package dev.caroblb.membership;

import java.util.Optional;

/**
 * The latest announcement of a target and the local time at which it was fresh.
 *
 * @param announcement the latest announcement
 * @param heardAtMs the latest local time at which an instance certainly had received it; empty
 *     while its age is unknown
 * @param storedAtMs local time at which the record was stored
 */
record TargetRecord(Announcement announcement, Optional<Long> heardAtMs, long storedAtMs) {
  /** Three announcements, sent each second, may be lost; four seconds must not pass. */
  static final long SILENT_AFTER_MS = 3_500;

  TargetStatus statusAt(long nowMs) {
    if (ageAt(nowMs) >= SILENT_AFTER_MS) {
      return TargetStatus.SILENT;
    }
    return announcement.leaving() ? TargetStatus.LEAVING : TargetStatus.AVAILABLE;
  }

  /** Age of the announcement; at least {@link #SILENT_AFTER_MS} while it is unknown. */
  long ageAt(long nowMs) {
    return heardAtMs
        .map(heard -> Math.max(0, nowMs - heard))
        .orElseGet(() -> SILENT_AFTER_MS + Math.max(0, nowMs - storedAtMs));
  }

  AgedAnnouncement agedAt(long nowMs) {
    return new AgedAnnouncement(announcement, ageAt(nowMs));
  }

  TargetRecord asLeaving() {
    return announcement.leaving()
        ? this
        : new TargetRecord(announcement.asLeaving(), heardAtMs, storedAtMs);
  }

  /** The same announcement reached this instance on a second path; the smaller age is right. */
  TargetRecord heardAgain(TargetRecord other) {
    TargetRecord merged = other.announcement.leaving() ? asLeaving() : this;
    if (other.heardAtMs.isEmpty()
        || (heardAtMs.isPresent() && heardAtMs.get() >= other.heardAtMs.get())) {
      return merged;
    }
    return new TargetRecord(merged.announcement, other.heardAtMs, storedAtMs);
  }
}
