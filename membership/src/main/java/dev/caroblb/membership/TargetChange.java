package dev.caroblb.membership;

import dev.caroblb.core.TargetId;

/** What the placement duty learns about a target that this instance follows. */
public sealed interface TargetChange {
  TargetId target();

  /** The target may get work. */
  record Available(AgedAnnouncement latest) implements TargetChange {
    @Override
    public TargetId target() {
      return latest.announcement().target();
    }
  }

  /** The target started anew and may get work; everything it ran before is lost. */
  record Restarted(long previousIncarnation, AgedAnnouncement latest) implements TargetChange {
    @Override
    public TargetId target() {
      return latest.announcement().target();
    }
  }

  /** A target that may get work reported its load, what it serves and cache events. */
  record Reported(AgedAnnouncement latest) implements TargetChange {
    @Override
    public TargetId target() {
      return latest.announcement().target();
    }
  }

  /** The target finishes what it runs and gets no new work. */
  record Leaving(TargetId target, long incarnation) implements TargetChange {}

  /** The incarnation was not heard of in time, was replaced, or is no longer followed. */
  record Gone(TargetId target, long incarnation) implements TargetChange {}
}
