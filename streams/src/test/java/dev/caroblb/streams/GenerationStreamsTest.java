package dev.caroblb.streams;

import static dev.caroblb.streams.StreamsHarness.lost;
import static dev.caroblb.streams.StreamsHarness.modelCall;
import static dev.caroblb.streams.StreamsHarness.token;
import static dev.caroblb.streams.StreamsHarness.unreachable;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.RefusalKind;
import dev.caroblb.core.RefusalReason;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Model calls to engines that lose links, tokens or generations. */
class GenerationStreamsTest {
  private final StreamsHarness harness = new StreamsHarness();

  private CallOutcome onlyOutcome() {
    assertEquals(1, harness.outcomes.size(), "outcomes");
    return harness.outcomes.get(0);
  }

  @Nested
  class Tokens {
    /** Guards against tokens delivered twice or out of order when an engine repeats tokens. */
    @Test
    void duplicatesAreDropped() {
      RecordingCaller caller = harness.start(modelCall(1, true, true));
      harness.engine(token(1), token(1), token(2));
      harness.engine(token(1), token(3), new EngineEvent.Done());
      assertEquals(List.of(1L, 2L, 3L), caller.sequences());
      assertEquals(List.of(new CallerEvent.Completed(harness.generation(), 3)), caller.finals());
      assertEquals(Optional.empty(), onlyOutcome().refusal());
    }

    /** Guards against a missing token in the middle of an answer. */
    @Test
    void gapIsResumedFromTheLastDelivered() {
      RecordingCaller caller = harness.start(modelCall(1, true, true));
      long first = harness.link();
      harness.engine(token(1), token(3), token(4));
      EngineCommand.Resume resume = harness.sent(EngineCommand.Resume.class).get(0);
      assertEquals(1, resume.afterSequence());
      assertEquals(harness.generation(), resume.generation());
      harness.engineOn(first, token(2), token(3));
      harness.engine(token(2), token(3), new EngineEvent.Done());
      assertEquals(List.of(1L, 2L, 3L), caller.sequences());
    }

    /** Guards against part of an answer being sent for a call that does not stream. */
    @Test
    void wholeCallAnswersOnce() {
      RecordingCaller caller = harness.start(modelCall(1, false, true));
      harness.engine(token(1), token(2));
      assertEquals(List.of(), caller.accepted);
      harness.engine(new EngineEvent.Done());
      CallerEvent.Whole whole = (CallerEvent.Whole) caller.accepted.get(0);
      assertEquals(2, whole.tokens().size());
      assertEquals(1, caller.accepted.size());
    }
  }

  @Nested
  class LinkLostBeforeFirstToken {
    /** Guards against a lost call, and a first generation that keeps running. */
    @Test
    void repeatableIsHandedBack() {
      RecordingCaller caller = harness.start(modelCall(1, true, true));
      harness.engine(lost());
      assertTrue(onlyOutcome().retry());
      assertEquals(1, harness.sent(EngineCommand.Cancel.class).size());
      assertEquals(List.of(), caller.accepted);
    }

    /** Guards against a second run of a call that must not be repeated. */
    @Test
    void notRepeatableIsResumed() {
      harness.start(modelCall(1, true, false));
      harness.engine(lost());
      assertEquals(1, harness.sent(EngineCommand.Resume.class).size());
      assertEquals(List.of(), harness.outcomes);
    }

    /** Guards against refusing a call that another target can run. */
    @Test
    void unreachableIsHandedBackAsNotRun() {
      harness.start(modelCall(1, true, false));
      harness.engine(unreachable());
      assertTrue(onlyOutcome().retry());
      assertEquals(Optional.of(RefusalReason.TARGET_UNREACHABLE), onlyOutcome().refusal());
    }

    /** Guards against a second run: a refused resume does not prove that the call did not run. */
    @Test
    void rejectedResumeOfNotRepeatableIsOutcomeUnknown() {
      RecordingCaller caller = harness.start(modelCall(1, true, false));
      harness.engine(lost());
      harness.engine(new EngineEvent.Rejected(404, "unknown"));
      assertFalse(onlyOutcome().retry());
      assertEquals(RefusalKind.OUTCOME_UNKNOWN, caller.reason().orElseThrow().kind());
    }

    /** Guards against a second run after a resume that could not connect. */
    @Test
    void unreachableResumeOfNotRepeatableIsNotHandedBack() {
      harness.start(modelCall(1, true, false));
      harness.engine(lost());
      harness.engine(unreachable());
      assertEquals(2, harness.sent(EngineCommand.Resume.class).size());
      assertEquals(List.of(), harness.outcomes);
    }

    /** Guards against reporting "not run" for a generation whose resume was refused. */
    @Test
    void rejectedResumeOfRepeatableIsNotReportedAsNotRun() {
      harness.start(modelCall(1, false, true));
      harness.engine(token(1));
      harness.advance(5_000);
      harness.engine(new EngineEvent.Rejected(404, "unknown"));
      assertTrue(onlyOutcome().retry());
      assertEquals(RefusalKind.OUTCOME_UNKNOWN, onlyOutcome().refusal().orElseThrow().kind());
    }
  }

  @Nested
  class LinkLostAfterFirstToken {
    /** Guards against an answer that mixes tokens of two generations. */
    @Test
    void sameGenerationIsResumed() {
      RecordingCaller caller = harness.start(modelCall(1, true, true));
      harness.engine(token(1));
      harness.engine(lost());
      harness.engine(token(2), new EngineEvent.Done());
      assertEquals(List.of(1L, 2L), caller.sequences());
      assertEquals(1, harness.sent(EngineCommand.Generate.class).size());
      assertEquals(Optional.empty(), caller.reason());
    }

    /** Guards against retrying a failing engine forever. */
    @Test
    void interruptedAfterFiveResumes() {
      RecordingCaller caller = harness.start(modelCall(1, true, true));
      harness.engine(token(1));
      for (int i = 0; i < 5; i++) {
        harness.engine(lost());
      }
      assertEquals(List.of(), caller.finals());
      harness.engine(lost());
      assertEquals(5, harness.sent(EngineCommand.Resume.class).size());
      assertEquals(Optional.of(RefusalReason.TARGET_LOST), caller.reason());
      assertFalse(onlyOutcome().retry());
    }

    /** Guards against a resume budget that does not recover during a long stream. */
    @Test
    void budgetReturnsAfterItsWindow() {
      RecordingCaller caller = harness.start(modelCall(1, true, true));
      harness.engine(token(1));
      for (int i = 0; i < 5; i++) {
        harness.engine(lost());
      }
      for (int i = 0; i < 30; i++) {
        harness.engine(new EngineEvent.KeepAlive());
        harness.advance(1_000);
      }
      harness.engine(lost());
      assertEquals(6, harness.sent(EngineCommand.Resume.class).size());
      assertEquals(List.of(), caller.finals());
    }

    /** Guards against a missing final event when the engine restarted and lost the generation. */
    @Test
    void rejectedResumeInterrupts() {
      RecordingCaller caller = harness.start(modelCall(1, true, true));
      harness.engine(token(1), token(2));
      harness.engine(lost());
      harness.engine(new EngineEvent.Rejected(404, "unknown"));
      CallerEvent.Interrupted end = (CallerEvent.Interrupted) caller.finals().get(0);
      assertEquals(2, end.tokens());
      assertFalse(onlyOutcome().retry());
    }

    /** Guards against waiting forever for a stalled link. */
    @Test
    void silentLinkIsReplaced() {
      harness.start(modelCall(1, true, true));
      harness.engine(token(1));
      harness.advance(4_900);
      assertEquals(0, harness.sent(EngineCommand.Resume.class).size());
      harness.advance(100);
      assertEquals(1, harness.sent(EngineCommand.Resume.class).size());
    }
  }

  @Nested
  class ResumeByCaller {
    /** Guards against two owners of a generation, and a superseded caller without final event. */
    @Test
    void supersededCallerGetsOneFinalEvent() {
      RecordingCaller old = harness.start(modelCall(1, true, true));
      harness.engine(token(1), token(2));
      RecordingCaller next = harness.resume(2, harness.generation(), 1);
      harness.engine(token(2), token(3), new EngineEvent.Done());
      assertEquals(1, old.finals().size());
      assertEquals(List.of(2L, 3L), next.sequences());
      assertEquals(Optional.empty(), next.reason());
      assertEquals(0, harness.sent(EngineCommand.Cancel.class).size());
      assertEquals(2, harness.outcomes.size());
    }

    /** Guards against a second outcome of a call that ended but is not fully delivered. */
    @Test
    void supersededAfterTheEndReportsOnce() {
      RecordingCaller old = harness.start(modelCall(1, true, true));
      old.full = true;
      harness.engine(token(1), new EngineEvent.Done());
      harness.resume(2, harness.generation(), 0);
      assertEquals(1, harness.outcomes.size());
      old.full = false;
      harness.advance(100);
      assertEquals(1, old.finals().size());
    }

    /** Guards against a refusal that does not say that the engine has lost the generation. */
    @Test
    void unknownGenerationIsRefused() {
      harness.start(modelCall(1, true, true));
      RecordingCaller caller = harness.resume(2, harness.generation(), 4);
      harness.engine(new EngineEvent.Rejected(404, "unknown"));
      assertEquals(Optional.of(RefusalReason.UNKNOWN_GENERATION), caller.reason());
    }
  }
}
