package dev.caroblb.membership;

import dev.caroblb.core.TargetId;

/** Change of a target that this instance follows, as reported to the placement duty. */
public sealed interface TargetChange {
  TargetId target();

  /** The target is now available for work. */
  record Available(AgedAnnouncement latest) implements TargetChange {
    @Override
    public TargetId target() {
      return latest.announcement().target();
    }
  }

  /**
   * The target was restarted and is available for work; everything that ran on it before is lost.
   */
  record Restarted(long previousIncarnation, AgedAnnouncement latest) implements TargetChange {
    @Override
    public TargetId target() {
      return latest.announcement().target();
    }
  }

  /** An available target reported its load, what it serves and its cache events. */
  record Reported(AgedAnnouncement latest) implements TargetChange {
    @Override
    public TargetId target() {
      return latest.announcement().target();
    }
  }

  /** The target finishes its running work and gets no new work. */
  record Leaving(TargetId target, long incarnation) implements TargetChange {}

  /** The incarnation timed out, was replaced by one that is leaving, or is no longer followed. */
  record Gone(TargetId target, long incarnation) implements TargetChange {}
}
