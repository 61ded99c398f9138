package dev.caroblb.standins.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BatchingEngineTest {
  private static final EngineSettings SMALL =
      new EngineSettings(20, 16, 8, 18_000, 150, 500, 100, 256, 512, 1);

  private final BatchingEngine engine = new BatchingEngine(SMALL);
  private final List<EngineEvent> events = new ArrayList<>();

  private void runSteps(int steps) {
    for (int i = 0; i < steps && engine.nextStepEndUs().isPresent(); i++) {
      engine.step(engine.nextStepEndUs().getAsLong());
      engine.drainEvents(events::add);
    }
  }

  private static EngineRequest request(int prompt, int priority, int output) {
    return new EngineRequest(prompt, 0, 0, priority, output);
  }

  private static List<EngineEvent> randomRun(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    BatchingEngine engine = new BatchingEngine(SMALL);
    List<EngineEvent> events = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      int prompt = random.nextInt(1, 100);
      engine.submit(i, request(prompt, random.nextInt(3), random.nextInt(1, 150)), 0);
    }
    for (int i = 0; i < 20_000 && engine.nextStepEndUs().isPresent(); i++) {
      engine.step(engine.nextStepEndUs().getAsLong());
      engine.drainEvents(events::add);
      EngineLoad load = engine.load(0);
      assertTrue(load.usedBlocks() >= 0 && load.usedBlocks() <= load.totalBlocks());
    }
    assertEquals(0, engine.load(0).usedBlocks(), "memory leaked");
    return events;
  }

  /** Guards against exceeded or leaked memory, lost generations and runs that differ. */
  @Property(seed = "31", tries = 100)
  void endsEveryGenerationAndRepeatsExactly(@ForAll long seed) {
    List<EngineEvent> events = randomRun(seed);
    assertEquals(40, events.stream().filter(event -> event instanceof EngineEvent.Done).count());
    assertEquals(events, randomRun(seed));
  }

  @Nested
  class WhenMemoryIsFull {
    /** Guards against preemption of the generation of higher priority. */
    @Test
    void preemptsTheLowestPriority() {
      engine.submit(1, request(100, 1, 200), 0);
      engine.submit(2, request(100, 5, 200), 0);
      runSteps(500);
      assertTrue(events.contains(new EngineEvent.Preempted(1)));
      assertFalse(events.contains(new EngineEvent.Preempted(2)));
      assertTrue(events.contains(new EngineEvent.Done(1, 200)));
    }
  }

  @Nested
  class WhenTheBatchGrows {
    /** Guards against step times that do not grow with the batch, which would hide overload. */
    @Test
    void stepsTakeLonger() {
      engine.submit(1, request(16, 1, 100), 0);
      runSteps(3);
      long before = engine.nextStepEndUs().getAsLong();
      runSteps(1);
      long alone = engine.nextStepEndUs().getAsLong() - before;
      for (int i = 2; i < 6; i++) {
        engine.submit(i, request(16, 1, 100), 0);
      }
      runSteps(3);
      before = engine.nextStepEndUs().getAsLong();
      runSteps(1);
      assertTrue(engine.nextStepEndUs().getAsLong() - before > alone);
    }
  }

  @Nested
  class WhenAStreamIsLost {
    /** Guards against a resume that skips or repeats a token. */
    @Test
    void resumesAfterTheGivenToken() {
      engine.submit(1, request(16, 1, 100), 0);
      runSteps(6);
      events.clear();
      assertTrue(engine.resume(1, 2));
      engine.drainEvents(events::add);
      assertEquals(new EngineEvent.Token(1, 3), events.get(0));
    }

    /** Guards against a cancelled generation that keeps its memory. */
    @Test
    void cancelFreesMemory() {
      engine.submit(1, request(16, 1, 100), 0);
      runSteps(2);
      assertTrue(engine.cancel(1));
      assertEquals(0, engine.load(0).usedBlocks());
      assertFalse(engine.resume(1, 0));
    }
  }

  @Nested
  class WhenAPrefixIsCached {
    /** Guards against a cache that stores nothing or grows without bound. */
    @Test
    void isReusedAndEvicted() {
      for (int i = 0; i < 6; i++) {
        engine.submit(i, new EngineRequest(100, i + 1, 100, 1, 1), 0);
        runSteps(10);
      }
      assertTrue(events.contains(new EngineEvent.CacheChanged(1, 1, true)));
      assertTrue(events.contains(new EngineEvent.CacheChanged(7, 1, false)));
    }
  }
}
