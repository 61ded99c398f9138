package dev.caroblb.streams;

import static dev.caroblb.streams.StreamsBench.lost;
import static dev.caroblb.streams.StreamsBench.modelCall;
import static dev.caroblb.streams.StreamsBench.token;
import static dev.caroblb.streams.StreamsBench.unreachable;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.RefusalKind;
import dev.caroblb.core.RefusalReason;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Model calls against engines that lose links, tokens and generations. */
class GenerationStreamsTest {
  private final StreamsBench bench = new StreamsBench();

  private CallOutcome onlyOutcome() {
    assertEquals(1, bench.outcomes.size(), "outcomes");
    return bench.outcomes.get(0);
  }

  @Nested
  class Tokens {
    /** Guards against tokens delivered twice or out of order after an engine repeats itself. */
    @Test
    void duplicatesAreDropped() {
      RecordingCaller caller = bench.start(modelCall(1, true, true));
      bench.engine(token(1), token(1), token(2));
      bench.engine(token(1), token(3), new EngineEvent.Done());
      assertEquals(List.of(1L, 2L, 3L), caller.sequences());
      assertEquals(List.of(new CallerEvent.Completed(bench.generation(), 3)), caller.finals());
      assertEquals(Optional.empty(), onlyOutcome().refusal());
    }

    /** Guards against a missing token in the middle of an answer. */
    @Test
    void gapIsResumedFromTheLastDelivered() {
      RecordingCaller caller = bench.start(modelCall(1, true, true));
      long first = bench.link();
      bench.engine(token(1), token(3), token(4));
      EngineCommand.Resume resume = bench.sent(EngineCommand.Resume.class).get(0);
      assertEquals(1, resume.afterSequence());
      assertEquals(bench.generation(), resume.generation());
      bench.engineOn(first, token(2), token(3));
      bench.engine(token(2), token(3), new EngineEvent.Done());
      assertEquals(List.of(1L, 2L, 3L), caller.sequences());
    }

    /** Guards against part of an answer being sent for a call that does not stream. */
    @Test
    void wholeCallAnswersOnce() {
      RecordingCaller caller = bench.start(modelCall(1, false, true));
      bench.engine(token(1), token(2));
      assertEquals(List.of(), caller.taken);
      bench.engine(new EngineEvent.Done());
      CallerEvent.Whole whole = (CallerEvent.Whole) caller.taken.get(0);
      assertEquals(2, whole.tokens().size());
      assertEquals(1, caller.taken.size());
    }
  }

  @Nested
  class LinkLostBeforeFirstToken {
    /** Guards against a lost call: it must be handed back, and its old generation cancelled. */
    @Test
    void repeatableIsHandedBack() {
      RecordingCaller caller = bench.start(modelCall(1, true, true));
      bench.engine(lost());
      assertTrue(onlyOutcome().retry());
      assertEquals(1, bench.sent(EngineCommand.Cancel.class).size());
      assertEquals(List.of(), caller.taken);
    }

    /** Guards against a second run of a call that may not repeat. */
    @Test
    void notRepeatableIsResumed() {
      bench.start(modelCall(1, true, false));
      bench.engine(lost());
      assertEquals(1, bench.sent(EngineCommand.Resume.class).size());
      assertEquals(List.of(), bench.outcomes);
    }

    /** Guards against refusing a call that a different target can still run. */
    @Test
    void unreachableIsHandedBackAsNotRun() {
      bench.start(modelCall(1, true, false));
      bench.engine(unreachable());
      assertTrue(onlyOutcome().retry());
      assertEquals(Optional.of(RefusalReason.TARGET_UNREACHABLE), onlyOutcome().refusal());
    }

    /** Guards against a second run: a refused resume does not prove that the call did not run. */
    @Test
    void rejectedResumeOfNotRepeatableIsOutcomeUnknown() {
      RecordingCaller caller = bench.start(modelCall(1, true, false));
      bench.engine(lost());
      bench.engine(new EngineEvent.Rejected(404, "unknown"));
      assertFalse(onlyOutcome().retry());
      assertEquals(RefusalKind.OUTCOME_UNKNOWN, caller.reason().orElseThrow().kind());
    }

    /** Guards against a second run after a resume that could not connect. */
    @Test
    void unreachableResumeOfNotRepeatableIsNotHandedBack() {
      bench.start(modelCall(1, true, false));
      bench.engine(lost());
      bench.engine(unreachable());
      assertEquals(2, bench.sent(EngineCommand.Resume.class).size());
      assertEquals(List.of(), bench.outcomes);
    }

    /** Guards against "not run" for a generation that ran before its resume was refused. */
    @Test
    void rejectedResumeOfRepeatableIsNotReportedAsNotRun() {
      bench.start(modelCall(1, false, true));
      bench.engine(token(1));
      bench.advance(5_000);
      bench.engine(new EngineEvent.Rejected(404, "unknown"));
      assertTrue(onlyOutcome().retry());
      assertEquals(RefusalKind.OUTCOME_UNKNOWN, onlyOutcome().refusal().orElseThrow().kind());
    }
  }

  @Nested
  class LinkLostAfterFirstToken {
    /** Guards against splicing: the same generation continues, at the same incarnation. */
    @Test
    void sameGenerationIsResumed() {
      RecordingCaller caller = bench.start(modelCall(1, true, true));
      bench.engine(token(1));
      bench.engine(lost());
      bench.engine(token(2), new EngineEvent.Done());
      assertEquals(List.of(1L, 2L), caller.sequences());
      assertEquals(1, bench.sent(EngineCommand.Generate.class).size());
      assertEquals(Optional.empty(), caller.reason());
    }

    /** Guards against asking a failing engine for ever. */
    @Test
    void interruptedAfterFiveResumes() {
      RecordingCaller caller = bench.start(modelCall(1, true, true));
      bench.engine(token(1));
      for (int i = 0; i < 5; i++) {
        bench.engine(lost());
      }
      assertEquals(List.of(), caller.finals());
      bench.engine(lost());
      assertEquals(5, bench.sent(EngineCommand.Resume.class).size());
      assertEquals(Optional.of(RefusalReason.TARGET_LOST), caller.reason());
      assertFalse(onlyOutcome().retry());
    }

    /** Guards against a budget that never recovers during a long stream. */
    @Test
    void budgetReturnsAfterItsWindow() {
      RecordingCaller caller = bench.start(modelCall(1, true, true));
      bench.engine(token(1));
      for (int i = 0; i < 5; i++) {
        bench.engine(lost());
      }
      for (int i = 0; i < 30; i++) {
        bench.engine(new EngineEvent.KeepAlive());
        bench.advance(1_000);
      }
      bench.engine(lost());
      assertEquals(6, bench.sent(EngineCommand.Resume.class).size());
      assertEquals(List.of(), caller.finals());
    }

    /** Guards against a silent end when the engine restarted and lost the generation. */
    @Test
    void rejectedResumeInterrupts() {
      RecordingCaller caller = bench.start(modelCall(1, true, true));
      bench.engine(token(1), token(2));
      bench.engine(lost());
      bench.engine(new EngineEvent.Rejected(404, "unknown"));
      CallerEvent.Interrupted end = (CallerEvent.Interrupted) caller.finals().get(0);
      assertEquals(2, end.tokens());
      assertFalse(onlyOutcome().retry());
    }

    /** Guards against waiting for ever on a stalled link. */
    @Test
    void silentLinkIsReplaced() {
      bench.start(modelCall(1, true, true));
      bench.engine(token(1));
      bench.advance(4_900);
      assertEquals(0, bench.sent(EngineCommand.Resume.class).size());
      bench.advance(100);
      assertEquals(1, bench.sent(EngineCommand.Resume.class).size());
    }
  }

  @Nested
  class ResumeByCaller {
    /** Guards against two owners of one generation and against a caller that is told nothing. */
    @Test
    void supersededCallerGetsOneFinalEvent() {
      RecordingCaller old = bench.start(modelCall(1, true, true));
      bench.engine(token(1), token(2));
      RecordingCaller next = bench.resume(2, bench.generation(), 1);
      bench.engine(token(2), token(3), new EngineEvent.Done());
      assertEquals(1, old.finals().size());
      assertEquals(List.of(2L, 3L), next.sequences());
      assertEquals(Optional.empty(), next.reason());
      assertEquals(0, bench.sent(EngineCommand.Cancel.class).size());
      assertEquals(2, bench.outcomes.size());
    }

    /** Guards against a second outcome for a call that ended but is not yet delivered. */
    @Test
    void supersededAfterTheEndReportsOnce() {
      RecordingCaller old = bench.start(modelCall(1, true, true));
      old.full = true;
      bench.engine(token(1), new EngineEvent.Done());
      bench.resume(2, bench.generation(), 0);
      assertEquals(1, bench.outcomes.size());
      old.full = false;
      bench.advance(100);
      assertEquals(1, old.finals().size());
    }

    /** Guards against an answer without remedy when the engine does not know the generation. */
    @Test
    void unknownGenerationIsRefused() {
      bench.start(modelCall(1, true, true));
      RecordingCaller caller = bench.resume(2, bench.generation(), 4);
      bench.engine(new EngineEvent.Rejected(404, "unknown"));
      assertEquals(Optional.of(RefusalReason.UNKNOWN_GENERATION), caller.reason());
    }
  }
}
