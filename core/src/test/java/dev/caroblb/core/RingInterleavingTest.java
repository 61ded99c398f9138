package dev.caroblb.core;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayDeque;
import java.util.Optional;
import org.jetbrains.lincheck.LincheckAssertionError;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RingInterleavingTest {
  private static final int ITERATIONS = 30;
  private static final int INVOCATIONS = 1_000;

  private static void check(Class<?> operations) {
    new StressOptions()
        .iterations(ITERATIONS)
        .invocationsPerIteration(INVOCATIONS)
        .threads(3)
        .actorsPerThread(3)
        .minimizeFailedScenario(false)
        .check(operations);
  }

  /** Operations that several threads run on one ring. */
  public static class RingOperations {
    private final Ring<Integer> ring = new Ring<>("test", 2);

    @Operation
    public boolean offer(int message) {
      return ring.offer(message);
    }

    @Operation
    public int poll() throws InterruptedException {
      return ring.poll(0).orElse(-1);
    }

    @Operation
    public int depth() {
      return ring.depth();
    }
  }

  /** The same operations on a queue that is not thread-safe. */
  public static class UnsafeOperations {
    private final ArrayDeque<Integer> queue = new ArrayDeque<>();

    @Operation
    public boolean offer(int message) {
      return queue.size() < 2 && queue.offer(message);
    }

    @Operation
    public int poll() {
      return Optional.ofNullable(queue.poll()).orElse(-1);
    }
  }

  @Nested
  class ByThreeThreads {
    /** Guards against messages that concurrent access loses, duplicates or reorders. */
    @Test
    void everyInterleavingIsLinearizable() {
      check(RingOperations.class);
    }

    /** Guards against a check that passes for any implementation. */
    @Test
    void detectsUnsafeQueue() {
      assertThrows(LincheckAssertionError.class, () -> check(UnsafeOperations.class));
    }
  }
}
