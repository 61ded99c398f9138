package dev.caroblb.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RingTest {
  private final Ring<Integer> ring = new Ring<>("test", 2);

  @Nested
  class WhenFull {
    /** Guards against a producer that blocks, and against rejections that are not counted. */
    @Test
    void rejectsAndCounts() {
      assertTrue(ring.offer(1));
      assertTrue(ring.offer(2));
      assertFalse(ring.offer(3));
      assertEquals(1, ring.rejected());
      assertEquals(2, ring.depth());
    }
  }

  @Nested
  class WhenEmpty {
    /** Guards against a poll that throws instead of returning empty after its timeout. */
    @Test
    void pollReturnsEmptyAfterTimeout() throws InterruptedException {
      assertEquals(Optional.empty(), ring.poll(1));
    }
  }

  @Nested
  class WhenHoldingMessages {
    /** Guards against messages that are lost or reordered. */
    @Test
    void keepsMessageOrder() throws InterruptedException {
      ring.offer(1);
      ring.offer(2);
      assertEquals(Optional.of(1), ring.poll(0));
      List<Integer> rest = new ArrayList<>();
      assertEquals(1, ring.drainTo(rest, 10));
      assertEquals(List.of(2), rest);
    }
  }
}
