package dev.caroblb.bench;

import dev.caroblb.placement.CacheEvent;
import dev.caroblb.placement.PlacementMessage;
import dev.caroblb.placement.TargetState;
import dev.caroblb.standins.engine.EngineEvent;
import dev.caroblb.standins.engine.EngineLoad;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** Brings the announcements of engines to the instances, each with its own delay. */
final class Announcements {
  private static final long SAMPLE_US = 100_000;
  private static final int SAMPLES_PER_ANNOUNCEMENT = 10;
  // An instance forwards announcements with its heartbeat, each 500 ms.
  private static final long FORWARD_US = 500_000;
  private static final long EXPIRY_US = 3_500_000;

  private final EventQueue queue;
  private final List<Entry> entries;
  private final SplittableRandom random;

  Announcements(EventQueue queue, List<Entry> entries, long seed) {
    this.queue = queue;
    this.entries = entries;
    this.random = new SplittableRandom(seed ^ 0x5DEECE66DL);
  }

  void start(SimEngine engine) {
    for (Entry entry : entries) {
      tell(entry, engine, TargetState.AVAILABLE, Optional.empty());
    }
    int phase = random.nextInt(SAMPLES_PER_ANNOUNCEMENT);
    sample(engine, engine.incarnation(), phase);
  }

  private void sample(SimEngine engine, long incarnation, int number) {
    if (!engine.alive || engine.incarnation() != incarnation) {
      return;
    }
    engine.feed.sample(engine.model.load(queue.nowUs()));
    if (number % SAMPLES_PER_ANNOUNCEMENT == 0) {
      announce(engine);
    }
    queue.at(queue.nowUs() + SAMPLE_US, () -> sample(engine, incarnation, number + 1));
  }

  private void announce(SimEngine engine) {
    Optional<EngineLoad> load = engine.feed.load(queue.nowUs());
    List<EngineEvent.Cache> events = engine.feed.cacheEvents(queue.nowUs());
    for (Entry entry : entries) {
      queue.at(
          queue.nowUs() + random.nextLong(FORWARD_US), () -> deliver(entry, engine, load, events));
    }
  }

  private void deliver(
      Entry entry, SimEngine engine, Optional<EngineLoad> load, List<EngineEvent.Cache> events) {
    if (!engine.alive) {
      return;
    }
    tell(entry, engine, TargetState.AVAILABLE, load);
    for (EngineEvent.Cache event : events) {
      CacheEvent seen =
          new CacheEvent(
              engine.id, engine.incarnation(), event.sequence(), event.prefix(), event.stored());
      entry.tell(new PlacementMessage.CacheSeen(seen), queue.nowMs());
    }
  }

  /** The engine is not heard from any more. */
  void lost(SimEngine engine) {
    long incarnation = engine.incarnation();
    for (Entry entry : entries) {
      queue.at(
          queue.nowUs() + EXPIRY_US,
          () -> {
            if (engine.incarnation() == incarnation) {
              tell(entry, engine, TargetState.GONE, Optional.empty());
            }
          });
    }
  }

  private void tell(Entry entry, SimEngine engine, TargetState state, Optional<EngineLoad> load) {
    entry.tell(
        new PlacementMessage.TargetSeen(engine.view(state, load, queue.nowUs())), queue.nowMs());
  }
}
