package dev.caroblb.standins.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** Delays the load reports of an engine, and delays or drops its cache events. */
public final class AnnouncementFeed {
  private record DelayedCacheEvent(EngineEvent.CacheChanged event, long atUs) {}

  private final AnnouncementSettings settings;
  private final SplittableRandom random;
  private final ArrayDeque<EngineLoad> loads = new ArrayDeque<>();
  private final ArrayDeque<DelayedCacheEvent> cacheEvents = new ArrayDeque<>();

  public AnnouncementFeed(AnnouncementSettings settings, long seed) {
    this.settings = settings;
    this.random = new SplittableRandom(seed);
  }

  /** Adds a load sample. */
  public void recordLoad(EngineLoad load) {
    loads.addLast(load);
  }

  /** Adds a cache event, or drops it at random. */
  public void recordCacheEvent(EngineEvent.CacheChanged event, long nowUs) {
    if (random.nextDouble() >= settings.cacheLossProbability()) {
      cacheEvents.addLast(new DelayedCacheEvent(event, nowUs));
    }
  }

  /** Removes the load samples that are old enough to be sent and returns the latest of them. */
  public Optional<EngineLoad> pollLoad(long nowUs) {
    Optional<EngineLoad> latest = Optional.empty();
    while (!loads.isEmpty() && loads.peekFirst().atUs() <= nowUs - settings.loadLagUs()) {
      latest = Optional.of(loads.removeFirst());
    }
    return latest;
  }

  /** Removes and returns the cache events that are old enough to be sent. */
  public List<EngineEvent.CacheChanged> pollCacheEvents(long nowUs) {
    List<EngineEvent.CacheChanged> due = new ArrayList<>();
    while (!cacheEvents.isEmpty()
        && cacheEvents.peekFirst().atUs() <= nowUs - settings.cacheLagUs()) {
      due.add(cacheEvents.removeFirst().event());
    }
    return due;
  }
}
