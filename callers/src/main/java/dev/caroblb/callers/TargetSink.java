package dev.caroblb.callers;

import java.util.List;
import java.util.Optional;

/** Accepts announcements of targets. */
public interface TargetSink {
  /** Submits an announcement; returns false if the queue is full. */
  boolean announce(AnnouncedTarget announcement);

  /**
   * State that a target announces about itself.
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

  /** Load of an engine; {@code reportedAtMs} is read from the engine's clock. */
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
