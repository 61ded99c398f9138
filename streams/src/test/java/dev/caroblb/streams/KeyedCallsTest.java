package dev.caroblb.streams;

import static dev.caroblb.streams.StreamsHarness.lost;
import static dev.caroblb.streams.StreamsHarness.serviceCall;
import static dev.caroblb.streams.StreamsHarness.unreachable;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import dev.caroblb.core.Payload;
import dev.caroblb.core.Refusal;
import dev.caroblb.core.RefusalKind;
import dev.caroblb.core.RefusalReason;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Service calls with an idempotency key. */
class KeyedCallsTest {
  private static final Optional<String> KEY = Optional.of("1-abcdefgh");
  private final StreamsHarness harness = new StreamsHarness();
  private final RecordingCaller caller = harness.start(serviceCall(1, false, KEY));

  private void grantKey() {
    harness.handle(new StreamsMessage.KeyGranted(1));
  }

  private void answerRelease(boolean committed) {
    harness.handle(new StreamsMessage.KeyReleased(1, committed));
  }

  private int callsSent() {
    return harness.sent(EngineCommand.CallService.class).size();
  }

  @Nested
  class BeforeTheGrant {
    /** Guards against a second run while another entry instance holds the key. */
    @Test
    void nothingIsSent() {
      harness.advance(1_000);
      assertEquals(0, callsSent());
      grantKey();
      grantKey();
      assertEquals(1, callsSent());
    }

    /** Guards against a second run when the key has an outcome. */
    @Test
    void storedOutcomeIsReplayed() {
      harness.handle(new StreamsMessage.KeyOutcome(1, 201, "text/plain", Payload.ofText("x")));
      assertEquals(
          List.of(new CallerEvent.Answer(201, "text/plain", Payload.ofText("x"), true)),
          caller.accepted);
      grantKey();
      assertEquals(0, callsSent());
      assertEquals(1, harness.outcomes.size());
    }

    /** Guards against sending a call whose key was refused. */
    @Test
    void refusalEndsTheCall() {
      harness.handle(new StreamsMessage.KeyRefused(1, Refusal.of(RefusalReason.ALREADY_RESERVED)));
      grantKey();
      assertEquals(Optional.of(RefusalReason.ALREADY_RESERVED), caller.reason());
      assertEquals(0, callsSent());
    }

    /** Guards against reporting "not run" for a resend while the first run holds the key. */
    @Test
    void deadlineIsNotRunOnlyAfterTheRelease() {
      harness.advance(StreamsHarness.DEADLINE_MS);
      assertEquals(1, harness.sentKeys(KeyCommand.Release.class).size());
      assertEquals(List.of(), caller.accepted);
      grantKey();
      answerRelease(true);
      assertEquals(Optional.of(RefusalReason.DEADLINE_BEFORE_START), caller.reason());
      assertEquals(0, callsSent());
      assertEquals(1, harness.outcomes.size());
    }

    /** Guards against hiding that the key is held by an earlier run. */
    @Test
    void refusalAfterTheDeadlineIsPassedOn() {
      harness.advance(StreamsHarness.DEADLINE_MS);
      harness.handle(new StreamsMessage.KeyRefused(1, Refusal.of(RefusalReason.ALREADY_RESERVED)));
      assertEquals(Optional.of(RefusalReason.ALREADY_RESERVED), caller.reason());
    }

    /** Guards against a call that never ends because its release is not answered. */
    @Test
    void unansweredReleaseIsOutcomeUnknown() {
      harness.advance(StreamsHarness.DEADLINE_MS + 10_000);
      assertEquals(RefusalKind.OUTCOME_UNKNOWN, caller.reason().orElseThrow().kind());
      grantKey();
      assertEquals(0, callsSent());
      assertEquals(0, harness.handler.running());
    }

    /** Guards against reporting "not run" at a stop before the reservation is released. */
    @Test
    void stopIsOutcomeUnknown() {
      harness.handle(new StreamsMessage.StopAll());
      assertNotEquals(RefusalKind.NOT_RUN, caller.reason().orElseThrow().kind());
      assertEquals(1, harness.sentKeys(KeyCommand.Release.class).size());
      grantKey();
      assertEquals(0, callsSent());
    }
  }

  @Nested
  class AfterTheGrant {
    /** Guards against an answer that is not stored for a resend. */
    @Test
    void answerIsStored() {
      grantKey();
      harness.engine(new EngineEvent.Answer(200, "text/plain", Payload.ofText("ok")));
      assertEquals(1, harness.sentKeys(KeyCommand.StoreOutcome.class).size());
      assertEquals(1, caller.finals().size());
      assertEquals(1, harness.outcomes.size());
    }

    /** Guards against reporting "not run" before the reservation is released. */
    @Test
    void unreachableIsNotRunOnlyAfterTheRelease() {
      grantKey();
      harness.engine(unreachable());
      assertEquals(List.of(), caller.accepted);
      answerRelease(true);
      assertEquals(Optional.of(RefusalReason.TARGET_UNREACHABLE), caller.reason());
      assertEquals(1, harness.outcomes.size());
      assertFalse(harness.outcomes.get(0).retry());
    }

    /** Guards against reporting "not run" when the release may be lost. */
    @Test
    void uncommittedReleaseIsOutcomeUnknown() {
      grantKey();
      harness.engine(unreachable());
      answerRelease(false);
      assertEquals(RefusalKind.OUTCOME_UNKNOWN, caller.reason().orElseThrow().kind());
    }

    /** Guards against a second run of a call that may have run. */
    @Test
    void lostAnswerIsOutcomeUnknownAndKeepsTheKey() {
      grantKey();
      harness.engine(lost());
      assertEquals(RefusalKind.OUTCOME_UNKNOWN, caller.reason().orElseThrow().kind());
      assertEquals(0, harness.sentKeys(KeyCommand.Release.class).size());
      assertEquals(1, harness.sentKeys(KeyCommand.OutcomeLost.class).size());
      assertFalse(harness.outcomes.get(0).retry());
    }

    /** Guards against losing the outcome of a call whose caller disconnects. */
    @Test
    void callerGoneStillStores() {
      grantKey();
      harness.handle(new StreamsMessage.CallerGone(1));
      harness.engine(new EngineEvent.Answer(200, "text/plain", Payload.ofText("ok")));
      assertEquals(1, harness.sentKeys(KeyCommand.StoreOutcome.class).size());
      assertEquals(0, harness.handler.running());
    }

    /** Guards against storing an answer after the deadline, and a call that never ends. */
    @Test
    void deadlineIsOutcomeUnknown() {
      grantKey();
      long link = harness.link();
      harness.advance(StreamsHarness.DEADLINE_MS);
      harness.engineOn(link, new EngineEvent.Answer(200, "text/plain", Payload.ofText("late")));
      assertEquals(Optional.of(RefusalReason.DEADLINE_AFTER_START), caller.reason());
      assertEquals(0, harness.sentKeys(KeyCommand.StoreOutcome.class).size());
    }
  }
}
