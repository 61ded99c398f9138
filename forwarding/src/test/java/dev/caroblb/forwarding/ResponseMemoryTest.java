package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Responses of faulty targets that together exceed the memory of the instance. */
class ResponseMemoryTest extends ForwardingFixture {
  private static final int REQUESTS = 8;
  private static final long FIRST_CALL = 100;
  private static final Payload BLOCK = Payload.ofText("x".repeat(65_536));

  private long received;
  private int smallResponses;
  private boolean slowCallers;

  private void arriveAll(String path) {
    install(1);
    for (long call = FIRST_CALL; call < FIRST_CALL + REQUESTS; call++) {
      handle(
          new ForwardingMessage.RequestArrived(
              new ForwardCall(
                  call,
                  "id-" + call,
                  "host",
                  path,
                  Optional.of(4_000L),
                  Optional.of("key"),
                  Optional.empty(),
                  List.of(),
                  callerOfBlocks())));
    }
    assertEquals(REQUESTS, handler.running());
  }

  private RecordingCaller callerOfBlocks() {
    RecordingCaller created = new RecordingCaller();
    created.full = slowCallers;
    return created;
  }

  private int attempt(long call) {
    return targets.sent.stream()
        .filter(order -> order.call().id() == call)
        .reduce((earlier, later) -> later)
        .orElseThrow()
        .attempt();
  }

  /** Sends the same number of blocks to all requests, one block each in turn. */
  private void sendBlocks(int count, boolean stream) {
    for (long call = FIRST_CALL; call < FIRST_CALL + REQUESTS; call++) {
      handle(new ForwardingMessage.Head(call, attempt(call), head(200, stream)));
    }
    for (int i = 0; i < count; i++) {
      for (long call = FIRST_CALL; call < FIRST_CALL + REQUESTS; call++) {
        handle(new ForwardingMessage.Body(call, attempt(call), BLOCK));
      }
      received += BLOCK.size();
      int large = handler.running() - smallResponses;
      assertTrue(
          large * received <= MAX_RESPONSE_BYTES,
          large + " responses hold " + received + " bytes each");
    }
  }

  @Nested
  class Bodies {
    /** Guards against memory that is exhausted by bodies of which each is within its limit. */
    @Test
    void areLimitedTogether() {
      arriveAll("/once/x");
      sendBlocks(40, false);
      assertTrue(handler.running() > 0, "all requests have failed");
    }

    /** Guards against small responses that fail because a faulty target uses the memory. */
    @Test
    void largestOnesFailFirst() {
      arriveAll("/once/x");
      arrive("/once/x");
      handle(new ForwardingMessage.Head(7, attempt(7), head(200, false)));
      handle(new ForwardingMessage.Body(7, attempt(7), Payload.ofText("small ")));
      smallResponses = 1;
      sendBlocks(40, false);
      handle(new ForwardingMessage.Body(7, attempt(7), Payload.ofText("response")));
      handle(new ForwardingMessage.Ended(7, attempt(7)));
      assertEquals(List.of("answer 200 small response"), caller.events);
    }

    /** Guards against memory that stays reserved for responses that have ended. */
    @Test
    void freeTheirMemory() {
      for (int round = 0; round < 5; round++) {
        arriveAll("/once/x");
        sendBlocks(8, false);
        for (long call = FIRST_CALL; call < FIRST_CALL + REQUESTS; call++) {
          handle(new ForwardingMessage.Ended(call, attempt(call)));
        }
        received = 0;
        assertEquals(0, handler.running());
      }
    }
  }

  @Nested
  class Streams {
    /** Guards against memory that is exhausted by events without end. */
    @Test
    void areLimitedTogether() {
      arriveAll("/long/x");
      sendBlocks(15, true);
      assertTrue(handler.running() > 0, "all requests have failed");
    }

    /** Guards against memory that is exhausted by streams whose callers do not read. */
    @Test
    @Timeout(20)
    void ofSlowCallersAreLimitedTogether() {
      slowCallers = true;
      arriveAll("/short/x");
      handle(new ForwardingMessage.ControlInstancesChanged(List.of(new InstanceId("control"))));
      Payload events = Payload.ofText(FIRST_EVENT.repeat(BLOCK.size() / FIRST_EVENT.length()));
      for (long call = FIRST_CALL; call < FIRST_CALL + REQUESTS; call++) {
        handle(new ForwardingMessage.Head(call, attempt(call), head(200, true)));
        for (int i = 0; i < 15; i++) {
          handle(new ForwardingMessage.Body(call, attempt(call), events));
        }
      }
      assertTrue(handler.running() * 15L * events.size() <= MAX_RESPONSE_BYTES);
      assertTrue(handler.running() > 0, "all requests have failed");
    }
  }
}
