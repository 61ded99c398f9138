package dev.caroblb.membership;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.SoftwareVersion;
import dev.caroblb.core.TargetId;
import java.util.List;

/** Creates announcements of engines for tests. */
final class Announcements {
  static final TargetId ENGINE = new TargetId("engine-1");

  private Announcements() {}

  static Announcement of(TargetId target, long incarnation, long sequence, boolean leaving) {
    return new Announcement(
        target,
        incarnation,
        sequence,
        TargetKind.ENGINE,
        new FailureDomain("d1"),
        "127.0.0.1:9000",
        List.of("reader"),
        leaving,
        new TargetLoad(3, 1, 400, 1_000, 2, 123_456),
        List.of(new CacheEvent(7, CacheEvent.Change.STORED, -5)));
  }

  /** An announcement without any other news than the time left of the warm-up. */
  static Announcement cold(long incarnation, long sequence, long warmUpLeftMs) {
    return new Announcement(
        ENGINE,
        incarnation,
        sequence,
        TargetKind.ENGINE,
        new FailureDomain("d1"),
        "127.0.0.1:9000",
        List.of("reader"),
        false,
        new TargetLoad(0, 0, 0, 0, 0, 0),
        List.of(),
        warmUpLeftMs,
        SoftwareVersion.UNSTATED);
  }

  static Announcement alive(long incarnation, long sequence) {
    return of(ENGINE, incarnation, sequence, false);
  }

  static Announcement leaving(long incarnation, long sequence) {
    return of(ENGINE, incarnation, sequence, true);
  }
}
