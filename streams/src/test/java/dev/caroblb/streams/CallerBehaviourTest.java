package dev.caroblb.streams;

import static dev.caroblb.streams.StreamsHarness.lost;
import static dev.caroblb.streams.StreamsHarness.modelCall;
import static dev.caroblb.streams.StreamsHarness.serviceCall;
import static dev.caroblb.streams.StreamsHarness.token;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import dev.caroblb.core.Payload;
import dev.caroblb.core.RefusalReason;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Callers that read slowly or disconnect, deadlines and stops. */
class CallerBehaviourTest {
  private final StreamsHarness harness = new StreamsHarness();

  @Nested
  class SlowCaller {
    /** Guards against unbounded buffering: a full caller stops reading from the engine. */
    @Test
    void batchIsNotAcknowledged() {
      RecordingCaller caller = harness.start(modelCall(1, true, true));
      caller.full = true;
      harness.engine(token(1), token(2));
      harness.advance(20_000);
      assertEquals(0, harness.sent(EngineCommand.Consumed.class).size());
      assertEquals(0, harness.sent(EngineCommand.Resume.class).size());
      caller.full = false;
      harness.handle(new StreamsMessage.CallerReady(1));
      assertEquals(List.of(1L, 2L), caller.sequences());
      assertEquals(1, harness.sent(EngineCommand.Consumed.class).size());
    }

    /** Guards against lost tokens: the final event must count only what the caller accepted. */
    @Test
    void finalEventCountsAcceptedTokens() {
      RecordingCaller caller = harness.start(modelCall(1, true, true));
      harness.engine(token(1));
      caller.full = true;
      harness.engine(token(2), token(3));
      harness.advance(30_000);
      assertEquals(1, harness.sent(EngineCommand.Cancel.class).size());
      caller.full = false;
      harness.advance(200);
      assertEquals(List.of(1L), caller.sequences());
      assertEquals(Optional.of(RefusalReason.CALLER_STALLED), caller.reason());
      assertEquals(1, ((CallerEvent.Interrupted) caller.finals().get(0)).tokens());
    }

    /** Guards against a call that is kept forever because its caller never reads again. */
    @Test
    void stalledCallIsRemoved() {
      RecordingCaller caller = harness.start(modelCall(1, true, true));
      caller.full = true;
      harness.engine(token(1), new EngineEvent.Done());
      harness.advance(30_100);
      assertEquals(0, harness.handler.running());
      assertEquals(1, harness.outcomes.size());
    }

    /** Guards against a lost answer: the stall time starts with the answer, not the call. */
    @Test
    void lateServiceAnswerIsKeptForBusyCaller() {
      RecordingCaller caller = harness.start(serviceCall(1, true, Optional.empty()));
      harness.advance(40_000);
      caller.full = true;
      harness.engine(new EngineEvent.Answer(200, "text/plain", Payload.ofText("done")));
      harness.advance(200);
      caller.full = false;
      harness.handle(new StreamsMessage.CallerReady(1));
      assertEquals(1, caller.finals().size());
    }
  }

  @Nested
  class DisconnectedCaller {
    /** Guards against cancelling before the caller can resume, and never cancelling at all. */
    @Test
    void generationIsKeptThenCancelled() {
      harness.start(modelCall(1, true, true));
      harness.engine(token(1));
      harness.handle(new StreamsMessage.CallerGone(1));
      harness.advance(9_900);
      assertEquals(0, harness.sent(EngineCommand.Cancel.class).size());
      harness.advance(100);
      assertEquals(1, harness.sent(EngineCommand.Cancel.class).size());
      assertEquals(1, harness.outcomes.size());
      assertEquals(0, harness.handler.running());
    }

    /** Guards against a resume race: a call without a caller must not resume its lost link. */
    @Test
    void lostLinkIsNotResumed() {
      harness.start(modelCall(1, true, true));
      harness.engine(token(1));
      harness.handle(new StreamsMessage.CallerGone(1));
      harness.engine(lost());
      assertEquals(0, harness.sent(EngineCommand.Resume.class).size());
      assertEquals(1, harness.outcomes.size());
    }

    /** Guards against retrying a call whose caller has disconnected. */
    @Test
    void rejectedCallIsNotPlacedAgain() {
      harness.start(modelCall(1, true, true));
      harness.handle(new StreamsMessage.CallerGone(1));
      harness.engine(new EngineEvent.Rejected(503, "busy"));
      assertEquals(1, harness.outcomes.size());
      assertFalse(harness.outcomes.get(0).retry());
    }
  }

  @Nested
  class DeadlineOrStop {
    /** Guards against a call or a generation that continues after the deadline. */
    @Test
    void deadlineInterruptsAndCancels() {
      RecordingCaller caller = harness.start(modelCall(1, true, true));
      for (int i = 1; i <= 60; i++) {
        harness.engine(token(i));
        harness.advance(1_000);
      }
      assertEquals(Optional.of(RefusalReason.DEADLINE_AFTER_START), caller.reason());
      assertEquals(1, harness.sent(EngineCommand.Cancel.class).size());
      assertEquals(1, harness.outcomes.size());
    }

    /** Guards against a planned stop that ends streams without a final event. */
    @Test
    void stopEndsEveryCall() {
      RecordingCaller model = harness.start(modelCall(1, true, true));
      harness.engine(token(1));
      RecordingCaller service = harness.start(serviceCall(2, false, Optional.empty()));
      harness.handle(new StreamsMessage.StopAll());
      assertEquals(Optional.of(RefusalReason.STOPPING), model.reason());
      assertEquals(1, service.finals().size());
      assertEquals(2, harness.outcomes.size());
      assertEquals(0, harness.handler.running());
    }

    /** Guards against a second final event for a call that ended before the stop. */
    @Test
    void stopAfterTheEndAddsNothing() {
      RecordingCaller caller = harness.start(modelCall(1, true, true));
      caller.full = true;
      harness.engine(token(1), new EngineEvent.Done());
      harness.handle(new StreamsMessage.StopAll());
      caller.full = false;
      harness.advance(200);
      assertEquals(List.of(new CallerEvent.Completed(harness.generation(), 1)), caller.finals());
      assertEquals(1, harness.outcomes.size());
    }
  }

  @Nested
  class FullOutcomeRing {
    /** Guards against an admission slot that is never freed because the ring was full. */
    @Test
    void outcomeIsOfferedAgain() {
      harness.start(modelCall(1, true, true));
      harness.outcomesFull = true;
      harness.engine(token(1), new EngineEvent.Done());
      harness.advance(200);
      harness.outcomesFull = false;
      harness.advance(200);
      assertEquals(1, harness.outcomes.size());
    }
  }
}
