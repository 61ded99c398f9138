package dev.caroblb.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests of event streams that arrive in parts, and of malformed bytes. */
class EventStreamParserTest {
  private final List<ServerSentEvent> events = new ArrayList<>();
  private int comments;
  private final EventStreamParser parser = new EventStreamParser(events::add, () -> comments++);

  private boolean parse(String text) {
    return parser.parse(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
  }

  private static List<ServerSentEvent> parseInParts(byte[] bytes, int partBytes) {
    List<ServerSentEvent> parsed = new ArrayList<>();
    EventStreamParser parser = new EventStreamParser(parsed::add, () -> {});
    for (int from = 0; from < bytes.length; from += partBytes) {
      int count = Math.min(partBytes, bytes.length - from);
      assertTrue(parser.parse(ByteBuffer.wrap(bytes, from, count)));
    }
    return parsed;
  }

  @Nested
  class Fields {
    /** Guards against corrupted text when a multi-byte character is split between two parts. */
    @Test
    void everySplitGivesTheSameEvents() {
      List<ServerSentEvent> sent =
          List.of(
              new ServerSentEvent("token", Optional.of("1"), "\"영수증\""),
              new ServerSentEvent("token", Optional.of("2"), ""),
              new ServerSentEvent("done", Optional.empty(), "a\nb\n"));
      StringBuilder text = new StringBuilder();
      sent.forEach(event -> text.append(event.encode().text()));
      byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
      for (int partBytes = 1; partBytes <= bytes.length; partBytes++) {
        assertEquals(sent, parseInParts(bytes, partBytes), "parts of " + partBytes + " bytes");
      }
    }

    /** Guards against misparsed lines of engines that end them with CR LF. */
    @Test
    void carriageReturnEndsTheLineToo() {
      assertTrue(parse("event: token\r\nid:1\r\ndata: x\r\n\r\n"));
      assertEquals(List.of(new ServerSentEvent("token", Optional.of("1"), "x")), events);
    }

    /** Guards against a keep-alive comment that is not reported, or is taken for an event. */
    @Test
    void commentsAreReported() {
      assertTrue(parse(":\n\n: keep\n\n"));
      assertEquals(2, comments);
      assertEquals(List.of(), events);
    }

    /** Guards against an event id that a later event inherits. */
    @Test
    void idBelongsToOneEvent() {
      assertTrue(parse("event: token\nid: 1\ndata: x\n\ndata: y\n\n"));
      assertEquals(new ServerSentEvent("message", Optional.empty(), "y"), events.get(1));
    }
  }

  @Nested
  class Limits {
    private static final int LIMIT = 1 << 20;

    /** Guards against memory exhaustion by one endless line. */
    @Test
    void endlessLineIsRefused() {
      assertFalse(parse("data: " + "x".repeat(LIMIT)));
      assertFalse(parse("\n\n"));
      assertEquals(List.of(), events);
    }

    /** Guards against memory exhaustion by one event with endless lines. */
    @Test
    void endlessEventIsRefused() {
      String line = "data: " + "x".repeat(1_000) + "\n";
      assertFalse(parse(line.repeat(LIMIT / 1_000 + 1)));
      assertEquals(List.of(), events);
    }
  }

  /**
   * Guards against an exception on the reactor thread, and against results that depend on how the
   * stream is split.
   */
  @Property(tries = 1_000, seed = "4714")
  void arbitraryBytesDoNotDependOnParts(
      @ForAll @Size(max = 200) byte[] bytes, @ForAll @IntRange(min = 1, max = 20) int partBytes) {
    assertEquals(parseInParts(bytes, Integer.MAX_VALUE / 2), parseInParts(bytes, partBytes));
  }

  /**
   * Guards against text that changes in encoding and parsing, in any script and with any line
   * feeds.
   */
  @Property(tries = 1_000, seed = "4715")
  void eventsSurviveARoundTrip(
      @ForAll("texts") String data, @ForAll @IntRange(min = 1, max = 20) int partBytes) {
    ServerSentEvent event = new ServerSentEvent("token", Optional.of("e.1.g/7"), data);
    assertEquals(List.of(event), parseInParts(event.encode().toBytes(), partBytes));
  }

  @Provide
  Arbitrary<String> texts() {
    return Arbitraries.strings().ofMaxLength(40).withChars("a: \n{}\"").withCharRange('가', '힣');
  }
}
