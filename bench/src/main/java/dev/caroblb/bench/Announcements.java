package dev.caroblb.bench;

import dev.caroblb.placement.CacheEvent;
import dev.caroblb.placement.PlacementMessage;
import dev.caroblb.placement.TargetState;
import dev.caroblb.standins.engine.EngineEvent;
import dev.caroblb.standins.engine.EngineLoad;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** Delivers the announcements of engines to every entry, each with a random delay. */
final class Announcements {
  private static final long SAMPLE_INTERVAL_US = 100_000;
  private static final int SAMPLES_PER_ANNOUNCEMENT = 10;
  // An instance forwards announcements with its heartbeat every 500 ms.
  private static final long MAX_FORWARD_DELAY_US = 500_000;
  private static final long EXPIRY_DELAY_US = 3_500_000;

  private final EventQueue queue;
  private final List<SimEntry> entries;
  private final SplittableRandom random;

  Announcements(EventQueue queue, List<SimEntry> entries, long seed) {
    this.queue = queue;
    this.entries = entries;
    this.random = new SplittableRandom(seed ^ 0x5DEECE66DL);
  }

  void start(SimEngine engine) {
    for (SimEntry entry : entries) {
      reportTarget(entry, engine, TargetState.AVAILABLE, Optional.empty());
    }
    int phase = random.nextInt(SAMPLES_PER_ANNOUNCEMENT);
    sample(engine, engine.incarnation(), phase);
  }

  private void sample(SimEngine engine, long incarnation, int sampleIndex) {
    if (!engine.alive || engine.incarnation() != incarnation) {
      return;
    }
    engine.feed.recordLoad(engine.model.load(queue.nowUs()));
    if (sampleIndex % SAMPLES_PER_ANNOUNCEMENT == 0) {
      announce(engine);
    }
    queue.schedule(
        queue.nowUs() + SAMPLE_INTERVAL_US, () -> sample(engine, incarnation, sampleIndex + 1));
  }

  private void announce(SimEngine engine) {
    Optional<EngineLoad> load = engine.feed.pollLoad(queue.nowUs());
    List<EngineEvent.CacheChanged> events = engine.feed.pollCacheEvents(queue.nowUs());
    for (SimEntry entry : entries) {
      queue.schedule(
          queue.nowUs() + random.nextLong(MAX_FORWARD_DELAY_US),
          () -> deliver(entry, engine, load, events));
    }
  }

  private void deliver(
      SimEntry entry,
      SimEngine engine,
      Optional<EngineLoad> load,
      List<EngineEvent.CacheChanged> events) {
    if (!engine.alive) {
      return;
    }
    reportTarget(entry, engine, TargetState.AVAILABLE, load);
    for (EngineEvent.CacheChanged event : events) {
      CacheEvent seen =
          new CacheEvent(
              engine.id, engine.incarnation(), event.sequence(), event.prefix(), event.stored());
      entry.sendToPlacement(new PlacementMessage.CacheSeen(seen), queue.nowMs());
    }
  }

  /** Reports a lost engine as gone when its announcements have expired. */
  void expire(SimEngine engine) {
    long incarnation = engine.incarnation();
    for (SimEntry entry : entries) {
      queue.schedule(
          queue.nowUs() + EXPIRY_DELAY_US,
          () -> {
            if (engine.incarnation() == incarnation) {
              reportTarget(entry, engine, TargetState.GONE, Optional.empty());
            }
          });
    }
  }

  private void reportTarget(
      SimEntry entry, SimEngine engine, TargetState state, Optional<EngineLoad> load) {
    entry.sendToPlacement(
        new PlacementMessage.TargetSeen(engine.view(state, load, queue.nowUs())), queue.nowMs());
  }
}
