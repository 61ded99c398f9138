package dev.caroblb.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.Payload;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class JsonBodyTest {
  private static final int DEEP = 100_000;
  private static final long SMALL_STACK_BYTES = 256 << 10;
  private static final long TIMEOUT_MS = 20_000;

  private static JsonBody parse(String text) throws MalformedBodyException {
    return JsonBody.parse(Payload.ofText(text));
  }

  private static void assertMalformed(String text) {
    assertThrows(MalformedBodyException.class, () -> parse(text));
  }

  @Nested
  class Document {
    /** Guards against bodies of which only a part is read. */
    @Test
    void thatIsNotOneObjectIsRejected() {
      for (String text :
          List.of("", "[]", "5", "null", "{", "{}x", "{}{}", "{\"a\":1,\"a\":2}", "\u0000{}")) {
        assertMalformed(text);
      }
    }

    /** Guards against a thread that ends or hangs on deep nesting. */
    @Test
    void thatIsDeeplyNestedIsRejected() throws InterruptedException {
      AtomicReference<Throwable> thrown = new AtomicReference<>();
      Thread thread =
          new Thread(
              null,
              () -> {
                assertMalformed("{\"a\":".repeat(DEEP) + "1" + "}".repeat(DEEP));
                assertMalformed("{\"a\":" + "[".repeat(DEEP) + "]".repeat(DEEP) + "}");
              },
              "io",
              SMALL_STACK_BYTES);
      thread.setUncaughtExceptionHandler((t, e) -> thrown.set(e));
      thread.start();
      thread.join(TIMEOUT_MS);
      assertTrue(!thread.isAlive(), "the body is still being read");
      assertEquals(null, thrown.get());
    }
  }

  @Nested
  class Numbers {
    /** Guards against a number that is read as another one. */
    @Test
    void outOfRangeAreRejected() throws MalformedBodyException {
      for (String value :
          List.of(
              "-1",
              "99999999999999999999",
              "18446744073709551617",
              "1e999999999",
              "1e5",
              "5.0",
              "\"5\"",
              "null",
              "[5]")) {
        JsonBody body = parse("{\"a\":" + value + "}");
        assertThrows(MalformedBodyException.class, () -> body.integer("a"), value);
      }
      JsonBody large = parse("{\"a\":2147483648}");
      assertThrows(MalformedBodyException.class, () -> large.smallInteger("a"));
      assertEquals(Long.MAX_VALUE, parse("{\"a\":9223372036854775807}").integer("a"));
    }
  }
}
