package dev.caroblb.callers;

import java.util.List;
import java.util.Optional;

/** Takes announcements of targets. */
public interface TargetSink {
  /** Hands over an announcement; false when there was no room for it. */
  boolean announce(AnnouncedTarget announcement);

  /**
   * What a target says about itself.
   *
   * @param kind {@code engine} or {@code service}
   * @param serves models of an engine or names of services
   */
  record AnnouncedTarget(
      String target,
      long incarnation,
      long sequence,
      String kind,
      String domain,
      String address,
      List<String> serves,
      boolean leaving,
      Optional<Load> load,
      List<AnnouncedCacheEvent> cacheEvents) {
    public AnnouncedTarget {
      serves = List.copyOf(serves);
      cacheEvents = List.copyOf(cacheEvents);
    }
  }

  /** Load of an engine at {@code reportedAtMs} on its own clock. */
  record Load(
      int running,
      int waiting,
      long usedBlocks,
      long totalBlocks,
      long preemptions,
      long reportedAtMs) {}

  /** A prompt prefix that an engine cached or evicted. */
  record AnnouncedCacheEvent(long sequence, String prefix, boolean cached) {}
}
