package dev.caroblb.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LogLineTest {
  @Nested
  class Values {
    /** Guards against quotes around values that need none. */
    @Test
    void plainValuesAreNotQuoted() {
      assertEquals("event=a.b k=1", LogLine.of("a.b").with("k", 1).toString());
    }

    /** Guards against a value that injects a second line or a second pair into the log. */
    @Test
    void otherValuesAreEscaped() {
      assertEquals(
          "event=a k=\"x\\ny=\\\"1\\\"\\u0007\"",
          LogLine.of("a").with("k", "x\ny=\"1\"\u0007").toString());
    }
  }
}
