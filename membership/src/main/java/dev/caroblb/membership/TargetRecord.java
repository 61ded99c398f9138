package dev.caroblb.membership;

import java.util.Optional;

/**
 * The latest announcement of a target, with the local time at which an instance received it.
 *
 * @param announcement the latest announcement
 * @param heardAtMs lower bound on the local time at which an instance received it from the target;
 *     empty while its age is unknown
 * @param storedAtMs local time at which the record was stored
 */
record TargetRecord(Announcement announcement, Optional<Long> heardAtMs, long storedAtMs) {
  /**
   * Age at which a target counts as silent. Announcements are sent every second and three in a row
   * may be lost, but a dead target must be detected within 4 s.
   */
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

  /**
   * Merges the same announcement, received on another path. The smaller of the two ages is kept,
   * because each age is an upper bound.
   */
  TargetRecord mergeDuplicate(TargetRecord other) {
    TargetRecord merged = other.announcement.leaving() ? asLeaving() : this;
    if (other.heardAtMs.isEmpty()
        || (heardAtMs.isPresent() && heardAtMs.get() >= other.heardAtMs.get())) {
      return merged;
    }
    return new TargetRecord(merged.announcement, other.heardAtMs, storedAtMs);
  }
}
