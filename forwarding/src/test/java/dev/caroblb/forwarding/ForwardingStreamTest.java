package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.Payload;
import dev.caroblb.core.TargetId;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ForwardingStreamTest extends ForwardingFixture {
  @Nested
  class Stream {
    /** Guards against forwarding incomplete events to the caller. */
    @Test
    void forwardsCompleteEvents() {
      install(1);
      arrive("/long/x");
      startStream();
      assertEquals("part id: 1|data: a||", lastEvent());
      handle(new ForwardingMessage.Body(7, attempt(), Payload.ofText("ta: b\n\n")));
      assertEquals("part id: 2|data: b||", lastEvent());
      handle(new ForwardingMessage.Ended(7, attempt()));
      assertEquals("complete", lastEvent());
    }

    /** Guards against an interrupted stream that looks complete. */
    @Test
    void isAbortedWhenItsTargetIsLost() {
      install(2);
      arrive("/long/x");
      startStream();
      loseTarget();
      assertEquals("abort", lastEvent());
      assertEquals(1, targets.sent.size());
    }

    /** Guards against a stream that ends within an event but looks complete. */
    @Test
    void isAbortedWhenItEndsWithinAnEvent() {
      install(2);
      arrive("/long/x");
      startStream();
      handle(new ForwardingMessage.Ended(7, attempt()));
      assertEquals("abort", lastEvent());
    }

    private void startStreamWithoutEvents() {
      handle(new ForwardingMessage.Head(7, attempt(), head(200, true)));
    }

    /** Guards against a crash before the first event that looks like a complete, empty stream. */
    @Test
    void isRefusedWhenItEndsBeforeTheFirstEvent() {
      install(2);
      arrive("/long/x");
      startStreamWithoutEvents();
      handle(new ForwardingMessage.Ended(7, attempt()));
      assertEquals(List.of("refused CONNECTION_LOST"), caller.events);
    }

    /** Guards against a reset instead of a response when an engine sends nothing after the head. */
    @Test
    void isRefusedWhenItsTimeoutEndsBeforeTheFirstEvent() {
      install(1);
      arrive("/long/x");
      startStreamWithoutEvents();
      nowMs += 4_000;
      handler.tick(nowMs);
      assertEquals(List.of("refused DEADLINE_AFTER_START"), caller.events);
    }

    /** Guards against the head of a target that sent no event above the events of another one. */
    @Test
    void hasTheHeadOfTheTargetThatSentTheFirstEvent() {
      install(2);
      arrive("/short/x");
      startStreamWithoutEvents();
      loseTarget();
      handle(new ForwardingMessage.Head(7, attempt(), head(201, true)));
      handle(new ForwardingMessage.Body(7, attempt(), Payload.ofText(FIRST_EVENT)));
      assertEquals(List.of("begin 201", "part id: 1|data: a||"), caller.events);
    }

    /** Guards against lost or duplicate events when a stream resumes at another target. */
    @Test
    void resumesAfterTheLastCompleteEvent() {
      install(2);
      arrive("/short/x");
      startStream();
      loseTarget();
      assertEquals(Optional.of("1"), targets.last().lastEventId());
      handle(new ForwardingMessage.Head(7, attempt(), head(200, true)));
      handle(new ForwardingMessage.Body(7, attempt(), Payload.ofText(SECOND_EVENT)));
      handle(new ForwardingMessage.Ended(7, attempt()));
      assertEquals(
          List.of("begin 200", "part id: 1|data: a||", "part id: 2|data: b||", "complete"),
          caller.events);
    }

    /** Guards against unbounded buffering for a caller that does not read. */
    @Test
    void slowCallerStopsAcknowledgements() {
      install(1);
      arrive("/long/x");
      handle(new ForwardingMessage.Head(7, attempt(), head(200, true)));
      caller.full = true;
      String large = "data: " + "x".repeat(1 << 19) + "\n\n";
      handle(new ForwardingMessage.Body(7, attempt(), Payload.ofText(large)));
      int before = targets.acknowledged;
      handle(new ForwardingMessage.Body(7, attempt(), Payload.ofText(large + large)));
      assertEquals(before, targets.acknowledged);
      caller.full = false;
      handle(new ForwardingMessage.CallerReady(7));
      assertEquals(before + 1, targets.acknowledged);
    }
  }

  @Nested
  class LeavingTarget {
    /** Guards against sending new requests to a leaving target. */
    @Test
    void getsNoNewRequests() {
      install(2);
      handle(new ForwardingMessage.TargetLeaving(new TargetId("t0"), 1));
      for (int i = 0; i < 5; i++) {
        arrive("/safe/x");
        assertEquals("t1", targets.last().target().id().name());
      }
    }

    private void startStreamAtLeavingTarget() {
      install(3);
      arrive("/long/x");
      startStream();
      handle(new ForwardingMessage.TargetLeaving(targets.last().target().id(), 1));
      assertEquals(1, targets.moves.size());
      assertTrue(!targets.moves.get(0).finalCopy());
    }

    private void copied(boolean last) {
      handle(
          new ForwardingMessage.CopyEnded(
              7, attempt(), last, new MoveOutcome.Copied(last ? "h2" : "h1")));
    }

    /** Guards against losing a generation with its engine although a copy exists. */
    @Test
    void generationContinuesFromTheCopy() {
      startStreamAtLeavingTarget();
      String source = targets.last().target().address();
      copied(false);
      assertEquals(1, targets.sent.size());
      crashEngine();
      assertEquals(2, targets.sent.size());
      assertEquals(Optional.of(new CopiedMemory(source, "h1")), targets.last().memory());
      assertEquals(Optional.of("1"), targets.last().lastEventId());
      assertEquals(targets.moves.get(0).destination(), targets.last().target().address());
    }

    /** Guards against a long pause after a move, because the copy lacks the latest tokens. */
    @Test
    void copyIsUpdatedUntilTheEngineStops() {
      startStreamAtLeavingTarget();
      copied(false);
      for (int i = 0; i < 5; i++) {
        nowMs += 100;
        handle(new ForwardingMessage.Body(7, attempt(), Payload.ofText("ta: b\n\nid: 3\nda")));
        handler.tick(nowMs);
      }
      assertEquals(2, targets.moves.size());
      assertEquals(targets.moves.get(0).destination(), targets.moves.get(1).destination());
      assertTrue(!targets.moves.get(1).finalCopy());
    }

    /** Guards against orders that the engine rejects because the one before is in progress. */
    @Test
    void copyIsUpdatedOnceAtATime() {
      startStreamAtLeavingTarget();
      copied(false);
      for (int i = 0; i < 12; i++) {
        nowMs += 100;
        handle(new ForwardingMessage.Body(7, attempt(), Payload.ofText("ta: b\n\nid: 3\nda")));
        handler.tick(nowMs);
      }
      assertEquals(2, targets.moves.size());
      copied(false);
      for (int i = 0; i < 4; i++) {
        nowMs += 100;
        handle(new ForwardingMessage.Body(7, attempt(), Payload.ofText("ta: b\n\nid: 3\nda")));
        handler.tick(nowMs);
      }
      assertEquals(3, targets.moves.size());
    }

    /** Guards against a generation that hangs at an engine that sends nothing. */
    @Test
    void silentEngineIsToldToStop() {
      startStreamAtLeavingTarget();
      copied(false);
      nowMs += 500;
      handler.tick(nowMs);
      assertTrue(targets.moves.get(1).finalCopy());
      handle(new ForwardingMessage.Ended(7, attempt()));
      assertEquals(1, targets.sent.size());
      copied(true);
      assertEquals("h2", targets.last().memory().orElseThrow().handle());
    }

    /** Guards against losing a generation when its engine ended but an earlier copy exists. */
    @Test
    void earlierCopyIsUsedWhenTheEngineEnded() {
      startStreamAtLeavingTarget();
      copied(false);
      nowMs += 500;
      handler.tick(nowMs);
      stopEnded(new MoveOutcome.SourceEnded("refused"));
      assertEquals("h1", targets.last().memory().orElseThrow().handle());
    }

    /** Guards against a second run when the copy is gone: the first run took place nevertheless. */
    @Test
    void missingCopyEndsTheStream() {
      startStreamAtLeavingTarget();
      copied(false);
      crashEngine();
      refuseByTarget();
      assertEquals(2, targets.sent.size());
      assertEquals("abort", lastEvent());
    }

    /** Guards against a second run when the engine that holds the copy is unreachable. */
    @Test
    void unreachableCopyEndsTheStream() {
      startStreamAtLeavingTarget();
      copied(false);
      crashEngine();
      handle(new ForwardingMessage.Failed(7, attempt(), false, "refused"));
      assertEquals(2, targets.sent.size());
      assertEquals("abort", lastEvent());
    }

    /**
     * Guards against unlimited move orders: a failed move used to be ordered again at each event.
     */
    @Test
    void moveIsTriedThreeTimes() {
      install(9);
      arrive("/long/x");
      startStream();
      handle(new ForwardingMessage.TargetLeaving(targets.last().target().id(), 1));
      for (int i = 0; i < 8; i++) {
        handle(
            new ForwardingMessage.CopyEnded(
                7, attempt(), false, new MoveOutcome.NoRoom(Optional.empty())));
        handle(new ForwardingMessage.Body(7, attempt(), Payload.ofText(SECOND_EVENT)));
      }
      assertEquals(3, targets.moves.size());
    }
  }

  @Nested
  class GenerationWithBackup {
    private String backup() {
      return targets.last().backup().orElseThrow().address();
    }

    private void startGeneration() {
      install(3);
      arriveGeneration("/long/x", 900);
      startStream();
    }

    /** Guards against losing a generation with an engine that fails without notice. */
    @Test
    void continuesAtTheBackupWhenItsEngineIsLost() {
      startGeneration();
      String backup = backup();
      assertNotEquals(targets.last().target().address(), backup);
      crashEngine();
      assertEquals(2, targets.sent.size());
      assertEquals(backup, targets.last().target().address());
      assertEquals(Optional.of(new CopiedMemory(backup, "id-7")), targets.last().memory());
      assertEquals(Optional.of("1"), targets.last().lastEventId());
    }

    /** Guards against losing a generation whose stream ends within an event. */
    @Test
    void continuesWhenItsStreamEndsWithinAnEvent() {
      startGeneration();
      handle(new ForwardingMessage.Ended(7, attempt()));
      stopEnded(new MoveOutcome.NotRunning());
      assertEquals(2, targets.sent.size());
    }

    /** Guards against losing a generation whose engine sends bytes that are no response. */
    @Test
    void continuesWhenItsStreamIsMalformed() {
      startGeneration();
      String backup = backup();
      handle(new ForwardingMessage.Malformed(7, attempt(), "the size of a chunk is no number"));
      stopEnded(new MoveOutcome.NotRunning());
      assertEquals(backup, targets.last().target().address());
      assertEquals(Optional.of("1"), targets.last().lastEventId());
    }

    /** Guards against a second copy of the same memory over the links of a leaving engine. */
    @Test
    void isNotMovedWhenItsEngineLeaves() {
      startGeneration();
      handle(new ForwardingMessage.TargetLeaving(targets.last().target().id(), 1));
      assertEquals(0, targets.moves.size());
    }

    /** Guards against relying on a backup at an engine that is leaving as well. */
    @Test
    void isMovedWhenItsBackupLeavesToo() {
      startGeneration();
      handle(new ForwardingMessage.TargetLeaving(targets.last().backup().orElseThrow().id(), 1));
      handle(new ForwardingMessage.TargetLeaving(targets.last().target().id(), 1));
      assertEquals(1, targets.moves.size());
    }

    /** Guards against a second run when the backup holds no copy. */
    @Test
    void endsWhenTheBackupIsMissing() {
      startGeneration();
      crashEngine();
      refuseByTarget();
      assertEquals(2, targets.sent.size());
      assertEquals("abort", lastEvent());
    }

    /**
     * Guards against needless backups: a short generation ends before it needs one, and a resumable
     * one is sent again.
     */
    @Test
    void isNotMadeForShortOrResumableGenerations() {
      install(3);
      arriveGeneration("/long/x", 40);
      assertEquals(Optional.empty(), targets.last().backup());
      arriveGeneration("/short/x", 900);
      assertEquals(Optional.empty(), targets.last().backup());
    }

    /** Guards against backups that take memory needed by requests. */
    @Test
    void isNotMadeWhenMemoryIsShort() {
      install(2);
      for (int i = 0; i < 14; i++) {
        arriveGeneration("/long/x", 900);
      }
      assertEquals(Optional.empty(), targets.last().backup());
    }
  }
}
