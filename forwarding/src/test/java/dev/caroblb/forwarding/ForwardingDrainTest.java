package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.TargetId;
import dev.caroblb.scheduling.PeerMessage;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Admission of requests while the instance stops. */
class ForwardingDrainTest extends ForwardingFixture {
  private static final InstanceId CONTROL = new InstanceId("control");

  /** Expected output tokens; the fixture's maximum is twice as many. */
  private static final long LONG_GENERATION = 1_000;

  private static final long SHORT_GENERATION = 10;

  /** Longer than the timeout of the fixture's requests. */
  private static final long AFTER_TIMEOUT_MS = 4_100;

  private void drain(long limitMs) {
    handle(new ForwardingMessage.DrainStarted(nowMs + limitMs));
  }

  @Nested
  class ArrivingRequest {
    /** Guards against accepting a generation that the drain limit would cut off. */
    @Test
    void generationThatCannotEndBeforeTheLimitIsRefused() {
      install(1);
      drain(3_300);
      arriveGeneration("/long/x", LONG_GENERATION);
      assertEquals(List.of("refused DRAINING"), caller.events);
      assertEquals(0, targets.sent.size());
      assertEquals(0, handler.running());
    }

    /** Guards against accepting a stream of unknown length that the drain limit would cut off. */
    @Test
    void streamOfUnknownLengthIsRefusedIfItsTimeoutIsAfterTheLimit() {
      install(1);
      drain(3_300);
      arrive("/long/x");
      assertEquals(List.of("refused DRAINING"), caller.events);
    }

    /** Guards against refusing requests while callers may still have the address cached. */
    @Test
    void requestsThatEndBeforeTheLimitAreServed() {
      install(1);
      drain(AFTER_TIMEOUT_MS);
      arriveGeneration("/long/x", SHORT_GENERATION);
      assertEquals(1, targets.sent.size());
      loseTarget();
      arrive("/safe/x");
      assertEquals(2, targets.sent.size());
    }

    /** Guards against refusing a request because of a drain limit that is after its timeout. */
    @Test
    void requestWhoseTimeoutIsBeforeTheLimitIsServed() {
      install(1);
      drain(7_300);
      arriveGeneration("/long/x", 10 * LONG_GENERATION);
      assertEquals(1, targets.sent.size());
    }

    /**
     * Guards against a short generation that is accepted by an estimate and cut at the limit,
     * because its engine is slower than usual. Its timeout bounds its duration, the estimate does
     * not.
     */
    @Test
    void shortGenerationIsRefusedIfItsTimeoutIsAfterTheLimit() {
      install(1);
      drain(3_300);
      arriveGeneration("/short/x", SHORT_GENERATION);
      assertEquals(List.of("refused DRAINING"), caller.events);
      assertEquals(0, targets.sent.size());
    }

    /** Guards against plain requests that are accepted too late to get a response. */
    @Test
    void plainRequestIsRefusedShortlyBeforeTheLimit() {
      install(1);
      drain(200);
      arrive("/once/x");
      assertEquals(List.of("refused DRAINING"), caller.events);
      assertEquals(0, targets.sent.size());
    }
  }

  @Nested
  class WaitingRequest {
    private void queueAtControlInstance(long outputTokens) {
      handle(new ForwardingMessage.ControlInstancesChanged(List.of(CONTROL)));
      install(1);
      arriveGeneration("/long/x", outputTokens);
      fromControl(new PeerMessage.PlacementQueued(firstTicket()));
    }

    private void fromControl(PeerMessage message) {
      handle(new ForwardingMessage.FromScheduler(new PeerEnvelope<>(CONTROL, message)));
    }

    /** Guards against a queued generation that waits although it can no longer end in time. */
    @Test
    void queuedGenerationIsRefusedWhenTheDrainStarts() {
      queueAtControlInstance(LONG_GENERATION);
      drain(3_300);
      assertEquals(List.of("refused DRAINING"), caller.events);
    }

    private void place() {
      fromControl(
          new PeerMessage.PlacementReply(
              firstTicket(), 1, Optional.of(new TargetId("t0")), Optional.empty()));
    }

    /** Guards against refusing a queued generation that is certain to end in time. */
    @Test
    void queuedGenerationIsSentIfItsTimeoutIsBeforeTheLimit() {
      queueAtControlInstance(LONG_GENERATION);
      drain(AFTER_TIMEOUT_MS);
      nowMs += 1_000;
      place();
      assertEquals(List.of(), caller.events);
      assertEquals(1, targets.sent.size());
    }

    /** Guards against a queued generation that is sent although the limit was shortened. */
    @Test
    void queuedGenerationIsNotSentWhenTheLimitWasShortened() {
      queueAtControlInstance(SHORT_GENERATION);
      drain(AFTER_TIMEOUT_MS);
      assertEquals(List.of(), caller.events);
      drain(3_300);
      assertEquals(List.of("refused DRAINING"), caller.events);
      place();
      assertEquals(0, targets.sent.size());
    }

    /** Guards against a request that waits for a target until the drain limit aborts it. */
    @Test
    void requestWithoutATargetIsRefusedWhenTheDrainStarts() {
      install(0);
      arrive("/once/x");
      drain(200);
      assertEquals(List.of("refused DRAINING"), caller.events);
    }
  }

  @Nested
  class RefusedByItsTarget {
    /** Guards against sending a generation again that can no longer end in time. */
    @Test
    void generationIsRefusedInsteadOfSentAgain() {
      install(2);
      arriveGeneration("/long/x", LONG_GENERATION);
      drain(3_300);
      refuseByTarget();
      assertEquals(List.of("refused DRAINING"), caller.events);
      assertEquals(1, targets.sent.size());
    }
  }

  @Nested
  class SentAgain {
    /** Guards against failing a request that is certain to end in time. */
    @Test
    void requestWhoseTimeoutIsBeforeTheLimitIsSentAgain() {
      install(2);
      arrive("/safe/x");
      drain(AFTER_TIMEOUT_MS);
      loseTarget();
      assertEquals(List.of(), caller.events);
      assertEquals(2, targets.sent.size());
    }

    /** Guards against a request that is sent again by an estimate and ended at the limit. */
    @Test
    void requestWhoseTimeoutIsAfterTheLimitIsNotSentAgain() {
      install(2);
      arrive("/safe/x");
      drain(3_500);
      loseTarget();
      assertEquals(List.of("refused CONNECTION_LOST"), caller.events);
      assertEquals(1, targets.sent.size());
    }

    /**
     * Guards against a stream that is sent again by an estimate, begins after the signal and is cut
     * at the limit, although its caller could still have got a complete response and repeated it.
     */
    @Test
    void streamThatBeginsAfterTheSignalIsNotCut() {
      install(2);
      arriveGeneration("/short/x", SHORT_GENERATION);
      drain(3_500);
      loseTarget();
      if (handler.running() > 0) {
        startStream();
        nowMs += 3_500;
        handle(new ForwardingMessage.AbortRunning());
      }
      assertNotEquals("abort", lastEvent());
    }
  }

  @Nested
  class EndOfTheDrain {
    /**
     * Guards against a stop that closes connections while requests which arrived before the refusal
     * of new ones wait in the ring of the duty.
     */
    @Test
    void waitsUntilTheRefusalOfNewRequestsWasHandled() {
      install(1);
      drain(AFTER_TIMEOUT_MS);
      assertFalse(handler.drained());
      arriveGeneration("/long/x", SHORT_GENERATION);
      handle(new ForwardingMessage.RefuseNew());
      assertFalse(handler.drained());
      loseTarget();
      assertTrue(handler.drained());
    }
  }

  @Nested
  class RunningRequest {
    /** Guards against ending a running generation before the limit. */
    @Test
    void streamIsRelayedUntilTheLimit() {
      install(1);
      arriveGeneration("/long/x", LONG_GENERATION);
      startStream();
      drain(3_300);
      nowMs += 3_000;
      handler.tick(nowMs);
      handle(new ForwardingMessage.RefuseNew());
      assertEquals(1, handler.running());
      handle(new ForwardingMessage.AbortRunning());
      assertEquals("abort", lastEvent());
    }

    /** Guards against ending a begun stream early that another target can continue. */
    @Test
    void resumableStreamIsContinuedUntilTheLimit() {
      install(2);
      arriveGeneration("/short/x", LONG_GENERATION);
      startStream();
      drain(3_300);
      loseTarget();
      assertEquals(2, targets.sent.size());
      assertEquals(Optional.of("1"), targets.last().lastEventId());
      final int second = targets.last().attempt();
      handle(new ForwardingMessage.AbortRunning());
      assertEquals("abort", lastEvent());
      assertTrue(targets.cancelled.contains(second), "the second target still works");
    }

    /** Guards against cutting a stream that its target has completed, for a slow caller. */
    @Test
    void streamThatItsTargetCompletedIsHandedOverAtTheLimit() {
      install(1);
      arriveGeneration("/long/x", LONG_GENERATION);
      startStream();
      caller.full = true;
      handle(new ForwardingMessage.Body(7, attempt(), Payload.ofText("ta: b\n\n")));
      handle(new ForwardingMessage.Ended(7, attempt()));
      drain(3_300);
      assertEquals("part id: 1|data: a||", lastEvent());
      handle(new ForwardingMessage.AbortRunning());
      assertEquals(
          List.of("begin 200", "part id: 1|data: a||", "part id: 2|data: b||", "complete"),
          caller.events);
      assertEquals(0, handler.running());
    }

    /** Guards against the statement that a request did not run which a target may have run. */
    @Test
    void requestThatMayHaveRunIsNotRefusedAsNotRun() {
      install(2);
      arrive("/safe/x");
      drain(100);
      loseTarget();
      assertEquals("refused CONNECTION_LOST", lastEvent());
    }
  }
}
