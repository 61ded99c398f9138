package dev.caroblb.streams;

import static dev.caroblb.streams.StreamsBench.lost;
import static dev.caroblb.streams.StreamsBench.serviceCall;
import static dev.caroblb.streams.StreamsBench.unreachable;
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

/** Calls of a service under an idempotency key. */
class KeyedCallsTest {
  private static final Optional<String> KEY = Optional.of("1-abcdefgh");
  private final StreamsBench bench = new StreamsBench();
  private final RecordingCaller caller = bench.start(serviceCall(1, false, KEY));

  private void granted() {
    bench.handle(new StreamsMessage.KeyGranted(1));
  }

  private void released(boolean committed) {
    bench.handle(new StreamsMessage.KeyReleased(1, committed));
  }

  private int callsSent() {
    return bench.sent(EngineCommand.CallService.class).size();
  }

  @Nested
  class BeforeTheGrant {
    /** Guards against a second run: another entry may hold the key. */
    @Test
    void nothingIsSent() {
      bench.advance(1_000);
      assertEquals(0, callsSent());
      granted();
      granted();
      assertEquals(1, callsSent());
    }

    /** Guards against a second run when the key has an outcome. */
    @Test
    void storedOutcomeIsReplayed() {
      bench.handle(new StreamsMessage.KeyOutcome(1, 201, "text/plain", Payload.ofText("x")));
      assertEquals(
          List.of(new CallerEvent.Answer(201, "text/plain", Payload.ofText("x"), true)),
          caller.taken);
      granted();
      assertEquals(0, callsSent());
      assertEquals(1, bench.outcomes.size());
    }

    /** Guards against sending after a refusal. */
    @Test
    void refusalEndsTheCall() {
      bench.handle(new StreamsMessage.KeyRefused(1, Refusal.of(RefusalReason.ALREADY_RESERVED)));
      granted();
      assertEquals(Optional.of(RefusalReason.ALREADY_RESERVED), caller.reason());
      assertEquals(0, callsSent());
    }

    /** Guards against "not run" for a resend whose first run still holds the key. */
    @Test
    void deadlineIsNotRunOnlyAfterTheRelease() {
      bench.advance(StreamsBench.DEADLINE_MS);
      assertEquals(1, bench.sentKeys(KeyCommand.Release.class).size());
      assertEquals(List.of(), caller.taken);
      granted();
      released(true);
      assertEquals(Optional.of(RefusalReason.DEADLINE_BEFORE_START), caller.reason());
      assertEquals(0, callsSent());
      assertEquals(1, bench.outcomes.size());
    }

    /** Guards against hiding that the key is held by an earlier run. */
    @Test
    void refusalAfterTheDeadlineIsPassedOn() {
      bench.advance(StreamsBench.DEADLINE_MS);
      bench.handle(new StreamsMessage.KeyRefused(1, Refusal.of(RefusalReason.ALREADY_RESERVED)));
      assertEquals(Optional.of(RefusalReason.ALREADY_RESERVED), caller.reason());
    }

    /** Guards against a call without end when the release is never answered. */
    @Test
    void unansweredReleaseIsOutcomeUnknown() {
      bench.advance(StreamsBench.DEADLINE_MS + 10_000);
      assertEquals(RefusalKind.OUTCOME_UNKNOWN, caller.reason().orElseThrow().kind());
      granted();
      assertEquals(0, callsSent());
      assertEquals(0, bench.handler.running());
    }

    /** Guards against "not run" at a stop while the reservation is not known to be free. */
    @Test
    void stopIsOutcomeUnknown() {
      bench.handle(new StreamsMessage.StopAll());
      assertNotEquals(RefusalKind.NOT_RUN, caller.reason().orElseThrow().kind());
      assertEquals(1, bench.sentKeys(KeyCommand.Release.class).size());
      granted();
      assertEquals(0, callsSent());
    }
  }

  @Nested
  class AfterTheGrant {
    /** Guards against an answer that a resend cannot find. */
    @Test
    void answerIsRecorded() {
      granted();
      bench.engine(new EngineEvent.Answer(200, "text/plain", Payload.ofText("ok")));
      assertEquals(1, bench.sentKeys(KeyCommand.StoreOutcome.class).size());
      assertEquals(1, caller.finals().size());
      assertEquals(1, bench.outcomes.size());
    }

    /** Guards against "not run" before the reservation is given back. */
    @Test
    void unreachableIsNotRunOnlyAfterTheRelease() {
      granted();
      bench.engine(unreachable());
      assertEquals(List.of(), caller.taken);
      released(true);
      assertEquals(Optional.of(RefusalReason.TARGET_UNREACHABLE), caller.reason());
      assertEquals(1, bench.outcomes.size());
      assertFalse(bench.outcomes.get(0).retry());
    }

    /** Guards against "not run" when the release may be lost. */
    @Test
    void uncommittedReleaseIsOutcomeUnknown() {
      granted();
      bench.engine(unreachable());
      released(false);
      assertEquals(RefusalKind.OUTCOME_UNKNOWN, caller.reason().orElseThrow().kind());
    }

    /** Guards against a second run of a call that may have run. */
    @Test
    void lostAnswerIsOutcomeUnknownAndKeepsTheKey() {
      granted();
      bench.engine(lost());
      assertEquals(RefusalKind.OUTCOME_UNKNOWN, caller.reason().orElseThrow().kind());
      assertEquals(0, bench.sentKeys(KeyCommand.Release.class).size());
      assertEquals(1, bench.sentKeys(KeyCommand.OutcomeLost.class).size());
      assertFalse(bench.outcomes.get(0).retry());
    }

    /** Guards against a lost record: the call goes on when its caller leaves. */
    @Test
    void callerGoneStillRecords() {
      granted();
      bench.handle(new StreamsMessage.CallerGone(1));
      bench.engine(new EngineEvent.Answer(200, "text/plain", Payload.ofText("ok")));
      assertEquals(1, bench.sentKeys(KeyCommand.StoreOutcome.class).size());
      assertEquals(0, bench.handler.running());
    }

    /** Guards against reading a late answer, and against a call without end. */
    @Test
    void deadlineIsOutcomeUnknown() {
      granted();
      long link = bench.link();
      bench.advance(StreamsBench.DEADLINE_MS);
      bench.engineOn(link, new EngineEvent.Answer(200, "text/plain", Payload.ofText("late")));
      assertEquals(Optional.of(RefusalReason.DEADLINE_AFTER_START), caller.reason());
      assertEquals(0, bench.sentKeys(KeyCommand.StoreOutcome.class).size());
    }
  }
}
