package dev.caroblb.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.ManualMillisClock;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BegunBodiesTest {
  private final ManualMillisClock clock = new ManualMillisClock(0);
  private final BegunBodies bodies = new BegunBodies(clock, 2);
  private final RequestBody first = new RequestBody(ListenerMemory.unbounded(), () -> {});
  private final RequestBody second = new RequestBody(ListenerMemory.unbounded(), () -> {});

  @Nested
  class Stalled {
    /** Guards against a body that is given up although it goes on. */
    @Test
    void isTheOneWithoutProgressForLongest() {
      bodies.progressed(first);
      bodies.progressed(second);
      clock.advance(BegunBodies.STALL_MS);
      bodies.progressed(first);
      assertEquals(Optional.of(second), bodies.takeStalled());
      assertEquals(Optional.empty(), bodies.takeStalled());
    }

    /** Guards against bodies that are given up as soon as memory is short. */
    @Test
    void isNoneBeforeItsTime() {
      bodies.progressed(first);
      clock.advance(BegunBodies.STALL_MS - 1);
      assertEquals(Optional.empty(), bodies.takeStalled());
    }

    /** Guards against a body that is given up after it was complete. */
    @Test
    void isNoneAfterItsEnd() {
      bodies.progressed(first);
      bodies.remove(first);
      clock.advance(BegunBodies.STALL_MS);
      assertEquals(Optional.empty(), bodies.takeStalled());
    }
  }

  @Nested
  class Places {
    /** Guards against bodies of few bytes each that take all connections. */
    @Test
    void areBounded() {
      bodies.progressed(first);
      assertFalse(bodies.full());
      bodies.progressed(second);
      assertTrue(bodies.full());
      bodies.remove(first);
      assertFalse(bodies.full());
    }
  }
}
