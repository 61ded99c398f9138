package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.caroblb.core.Payload;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Streams that break off, pause, or go on without an event. */
class BrokenStreamTest extends ForwardingFixture {
  private static final List<String> BEGUN = List.of("begin 200", "part id: 1|data: a||");

  private void advance(long ms) {
    nowMs += ms;
    handler.tick(nowMs);
  }

  /** A resumable stream broke off, and the next target responds with an error. */
  @Nested
  class NextTargetFails {
    private void breakOffAndRespond(ResponseHead head) {
      final int sentBefore = targets.sent.size();
      install(2);
      arrive("/short/x");
      startStream();
      loseTarget();
      assertEquals(sentBefore + 2, targets.sent.size());
      int attempt = attempt();
      handle(new ForwardingMessage.Head(7, attempt, head));
      handle(new ForwardingMessage.Body(7, attempt, Payload.ofText("{\"error\":\"x\"}\n\n")));
      handle(new ForwardingMessage.Ended(7, attempt));
    }

    private void assertAborted() {
      assertEquals(BEGUN, caller.events.subList(0, 2));
      assertEquals(List.of("abort"), caller.events.subList(2, caller.events.size()));
    }

    /** Guards against the text of an error in the middle of a stream. */
    @Test
    void withAnErrorStatus() {
      for (int status : new int[] {404, 500, 504}) {
        caller.events.clear();
        breakOffAndRespond(head(status, false));
        assertAborted();
      }
    }

    /** Guards against a refusal that ends a stream as if it were complete. */
    @Test
    void withARefusal() {
      breakOffAndRespond(new ResponseHead(503, true, true, false, new ResponseFields() {}));
      assertAborted();
    }

    /** Guards against a body that is no stream in the middle of a stream. */
    @Test
    void withASuccessThatIsNoStream() {
      breakOffAndRespond(head(200, false));
      assertAborted();
    }
  }

  @Nested
  class SlowTarget {
    /** Guards against cutting a stream that is slow but sound. */
    @Test
    void isNotCutBeforeTheTimeout() {
      install(1);
      arrive("/long/x");
      startStream();
      for (int i = 0; i < 3; i++) {
        advance(1_200);
        handle(new ForwardingMessage.Body(7, attempt(), Payload.ofText("ta: b\n\nid: 3\nda")));
      }
      handle(new ForwardingMessage.Body(7, attempt(), Payload.ofText("ta: b\n\n")));
      handle(new ForwardingMessage.Ended(7, attempt()));
      assertEquals("complete", lastEvent());
    }
  }

  @Nested
  class TricklingTarget {
    /** Guards against a stalled stream that sends a byte now and then and never ends. */
    @Test
    void isAbortedAtTheTimeout() {
      install(1);
      arrive("/long/x");
      startStream();
      for (int i = 0; i < 20; i++) {
        handle(new ForwardingMessage.Body(7, attempt(), Payload.ofText("x")));
        advance(250);
      }
      assertEquals("abort", lastEvent());
      assertEquals(1, targets.cancelled.size());
      assertEquals(0, handler.running());
    }
  }
}
