package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.Payload;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Streams of which an event never ends. */
class EndlessEventTest extends ForwardingFixture {
  /** Size of the window in which a target may send. */
  private static final int PART_BYTES = 65_536;

  private static final int MAX_EVENT_BYTES = 1 << 20;

  /** Far above the time for one event of the largest size, which is some milliseconds. */
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private static Payload part(String line) {
    return Payload.ofText(line.repeat(PART_BYTES / line.length()));
  }

  /** Adds parts until the limit is reached; returns the number of bytes added. */
  private static int addUntilLimit(EventFraming framing, Payload part) {
    int bytes = 0;
    while (!framing.overLimit() && bytes <= 2 * MAX_EVENT_BYTES) {
      assertEquals(0, framing.add(part).size());
      bytes += part.size();
    }
    return bytes;
  }

  @Nested
  class Framing {
    /** Guards against a duty that is busy for minutes with the lines of one event. */
    @Test
    void ofManyShortLinesReachesTheLimitSoon() {
      for (String line : new String[] {"a\n", ":\n", ": comment\n", "id: 7\n", "data: x\r\n"}) {
        EventFraming framing = new EventFraming();
        int bytes = assertTimeoutPreemptively(TIMEOUT, () -> addUntilLimit(framing, part(line)));
        assertTrue(bytes <= MAX_EVENT_BYTES + PART_BYTES, bytes + " bytes were buffered");
        assertEquals(Optional.empty(), framing.lastEventId());
      }
    }

    /** Guards against a line that fills the memory. */
    @Test
    void ofOneLineReachesTheLimit() {
      EventFraming framing = new EventFraming();
      assertTrue(addUntilLimit(framing, part("x")) <= MAX_EVENT_BYTES + PART_BYTES);
      framing.dropPartial();
      assertFalse(framing.overLimit());
    }
  }

  @Nested
  class Attempt {
    /** Guards against an attempt that goes on until its deadline. */
    @Test
    void endsAtTheLimitAndCancelsTheTarget() {
      install(1);
      arrive("/long/x");
      startStream();
      int attempt = attempt();
      for (int i = 0; i <= MAX_EVENT_BYTES / PART_BYTES; i++) {
        handle(new ForwardingMessage.Body(7, attempt, part("x")));
      }
      assertEquals(0, handler.running());
      assertTrue(targets.cancelled.contains(attempt), "the connection stays open");
    }
  }
}
