package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.Payload;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EventFramingTest {
  private static final String STREAM =
      "weight: 3\nid: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: no id\n\nid: 4\ndata: d\n\n";

  private final EventFraming framing = new EventFraming();

  private String add(String part) {
    return framing.add(Payload.ofText(part)).text();
  }

  @Nested
  class Splitting {
    /** Guards against forwarding bytes of an incomplete event. */
    @Test
    void keepsAnEventUntilItIsComplete() {
      assertEquals("", add("id: 1\ndata: a\n"));
      assertTrue(framing.hasPartialEvent());
      assertEquals("id: 1\ndata: a\n\n", add("\nid: 2"));
      assertEquals(Optional.of("1"), framing.lastEventId());
      framing.dropPartial();
      assertFalse(framing.hasPartialEvent());
      assertEquals("id: 5\n\n", add("id: 5\n\n"));
      assertEquals(Optional.of("5"), framing.lastEventId());
    }
  }

  /** Guards against lost or changed bytes, for any size of the parts of a stream. */
  @Property(seed = "7")
  void forwardsEveryByte(@ForAll @IntRange(min = 1, max = 70) int size) {
    EventFraming fresh = new EventFraming();
    StringBuilder forwarded = new StringBuilder();
    for (int from = 0; from < STREAM.length(); from += size) {
      String part = STREAM.substring(from, Math.min(STREAM.length(), from + size));
      forwarded.append(fresh.add(Payload.ofText(part)).text());
    }
    assertEquals(STREAM, forwarded.toString());
    assertFalse(fresh.hasPartialEvent());
    assertEquals(Optional.of("4"), fresh.lastEventId());
  }
}
