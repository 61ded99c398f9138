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
    /** Guards against parts of events that reach the caller before an event is whole. */
    @Test
    void passesWholeEventsOn() {
      installed(1);
      arrive("/long/x");
      streamBegins();
      assertEquals("part id: 1|data: a||", lastEvent());
      give(new ForwardingMessage.Body(7, attempt(), Payload.ofText("ta: b\n\n")));
      assertEquals("part id: 2|data: b||", lastEvent());
      give(new ForwardingMessage.Ended(7, attempt()));
      assertEquals("complete", lastEvent());
    }

    /** Guards against a broken stream that looks complete. */
    @Test
    void isBrokenOffWhenItsTargetIsLost() {
      installed(2);
      arrive("/long/x");
      streamBegins();
      lost();
      assertEquals("abort", lastEvent());
      assertEquals(1, targets.sent.size());
    }

    /** Guards against a stream that ends within an event and looks complete. */
    @Test
    void isBrokenOffWhenItEndsWithinAnEvent() {
      installed(2);
      arrive("/long/x");
      streamBegins();
      give(new ForwardingMessage.Ended(7, attempt()));
      assertEquals("abort", lastEvent());
    }

    /** Guards against gaps and repeats where a stream goes on at another target. */
    @Test
    void goesOnAfterTheLastWholeEventWhereItMayBeResumed() {
      installed(2);
      arrive("/short/x");
      streamBegins();
      lost();
      assertEquals(Optional.of("1"), targets.last().lastEventId());
      give(new ForwardingMessage.Head(7, attempt(), head(200, true)));
      give(new ForwardingMessage.Body(7, attempt(), Payload.ofText(SECOND_EVENT)));
      give(new ForwardingMessage.Ended(7, attempt()));
      assertEquals(
          List.of("begin 200", "part id: 1|data: a||", "part id: 2|data: b||", "complete"),
          caller.events);
    }

    /** Guards against unbounded memory for a caller that does not read. */
    @Test
    void aSlowCallerHoldsTheTargetUp() {
      installed(1);
      arrive("/long/x");
      give(new ForwardingMessage.Head(7, attempt(), head(200, true)));
      caller.full = true;
      String large = "data: " + "x".repeat(1 << 19) + "\n\n";
      give(new ForwardingMessage.Body(7, attempt(), Payload.ofText(large)));
      int before = targets.acknowledged;
      give(new ForwardingMessage.Body(7, attempt(), Payload.ofText(large + large)));
      assertEquals(before, targets.acknowledged);
      caller.full = false;
      give(new ForwardingMessage.CallerReady(7));
      assertEquals(before + 1, targets.acknowledged);
    }
  }

  @Nested
  class TargetThatLeaves {
    /** Guards against new requests at a target that said it leaves. */
    @Test
    void getsNothingNew() {
      installed(2);
      give(new ForwardingMessage.TargetLeaving(new TargetId("t0"), 1));
      for (int i = 0; i < 5; i++) {
        arrive("/safe/x");
        assertEquals("t1", targets.last().target().id().name());
      }
    }

    private void streamAtLeavingTarget() {
      installed(3);
      arrive("/long/x");
      streamBegins();
      give(new ForwardingMessage.TargetLeaving(targets.last().target().id(), 1));
      assertEquals(1, targets.moves.size());
      assertTrue(!targets.moves.get(0).last());
    }

    private void copied(boolean last) {
      give(
          new ForwardingMessage.Moved(
              7, attempt(), last, new MoveOutcome.Copied(last ? "h2" : "h1")));
    }

    /** Guards against a generation that is lost with its engine although a copy was made. */
    @Test
    void itsGenerationGoesOnFromTheCopy() {
      streamAtLeavingTarget();
      String source = targets.last().target().address();
      copied(false);
      assertEquals(1, targets.sent.size());
      lost();
      assertEquals(2, targets.sent.size());
      assertEquals(Optional.of(new CopiedMemory(source, "h1")), targets.last().memory());
      assertEquals(Optional.of("1"), targets.last().lastEventId());
      assertEquals(targets.moves.get(0).destination(), targets.last().target().address());
    }

    /** Guards against a generation that hangs at an engine that fell silent. */
    @Test
    void aSilentEngineIsToldToStop() {
      streamAtLeavingTarget();
      copied(false);
      nowMs += 500;
      handler.tick(nowMs);
      assertTrue(targets.moves.get(1).last());
      give(new ForwardingMessage.Ended(7, attempt()));
      assertEquals(1, targets.sent.size());
      copied(true);
      assertEquals("h2", targets.last().memory().orElseThrow().handle());
    }

    /** Guards against a lost generation when the last copy fails and an earlier one is there. */
    @Test
    void anEarlierCopyServesWhenTheLastOneFails() {
      streamAtLeavingTarget();
      copied(false);
      nowMs += 500;
      handler.tick(nowMs);
      give(new ForwardingMessage.Moved(7, attempt(), true, new MoveOutcome.Failed("closed")));
      assertEquals("h1", targets.last().memory().orElseThrow().handle());
    }

    /** Guards against a second run: the first one happened even if its copy is gone. */
    @Test
    void aCopyThatIsGoneEndsTheStream() {
      streamAtLeavingTarget();
      copied(false);
      lost();
      refusedByTarget();
      assertEquals(2, targets.sent.size());
      assertEquals("abort", lastEvent());
    }

    /** Guards against a second run when the engine that holds the copy cannot be reached. */
    @Test
    void anUnreachableCopyEndsTheStream() {
      streamAtLeavingTarget();
      copied(false);
      lost();
      give(new ForwardingMessage.Failed(7, attempt(), false, "refused"));
      assertEquals(2, targets.sent.size());
      assertEquals("abort", lastEvent());
    }

    /** Guards against orders without end: a move that failed was once ordered at each event. */
    @Test
    void movesAreTriedThreeTimes() {
      installed(9);
      arrive("/long/x");
      streamBegins();
      give(new ForwardingMessage.TargetLeaving(targets.last().target().id(), 1));
      for (int i = 0; i < 8; i++) {
        give(
            new ForwardingMessage.Moved(
                7, attempt(), false, new MoveOutcome.NoRoom(Optional.empty())));
        give(new ForwardingMessage.Body(7, attempt(), Payload.ofText(SECOND_EVENT)));
      }
      assertEquals(3, targets.moves.size());
    }
  }

  @Nested
  class GenerationWithABackup {
    private String backup() {
      return targets.last().backup().orElseThrow().address();
    }

    private void begins() {
      installed(3);
      arriveGeneration("/long/x", 900);
      streamBegins();
    }

    /** Guards against a generation that is lost with an engine that ends without notice. */
    @Test
    void goesOnAtTheBackupWhenItsEngineIsLost() {
      begins();
      String backup = backup();
      assertNotEquals(targets.last().target().address(), backup);
      lost();
      assertEquals(2, targets.sent.size());
      assertEquals(backup, targets.last().target().address());
      assertEquals(Optional.of(new CopiedMemory(backup, "id-7")), targets.last().memory());
      assertEquals(Optional.of("1"), targets.last().lastEventId());
    }

    /** Guards against a generation that is lost when its engine ends it within an event. */
    @Test
    void goesOnWhenItsStreamEndsWithinAnEvent() {
      begins();
      give(new ForwardingMessage.Ended(7, attempt()));
      assertEquals(2, targets.sent.size());
    }

    /** Guards against copies of the same memory on the links of an engine that leaves. */
    @Test
    void isNotMovedWhenItsEngineLeaves() {
      begins();
      give(new ForwardingMessage.TargetLeaving(targets.last().target().id(), 1));
      assertEquals(0, targets.moves.size());
    }

    /** Guards against trust in a backup at an engine that leaves as well. */
    @Test
    void isMovedWhenItsBackupLeavesToo() {
      begins();
      give(new ForwardingMessage.TargetLeaving(targets.last().backup().orElseThrow().id(), 1));
      give(new ForwardingMessage.TargetLeaving(targets.last().target().id(), 1));
      assertEquals(1, targets.moves.size());
    }

    /** Guards against a second run when nothing was copied. */
    @Test
    void endsWhenTheBackupHoldsNothing() {
      begins();
      lost();
      refusedByTarget();
      assertEquals(2, targets.sent.size());
      assertEquals("abort", lastEvent());
    }

    /** Guards against copies of generations that end before they are needed. */
    @Test
    void isNotMadeForShortOrResumableOnes() {
      installed(3);
      arriveGeneration("/long/x", 40);
      assertEquals(Optional.empty(), targets.last().backup());
      arriveGeneration("/short/x", 900);
      assertEquals(Optional.empty(), targets.last().backup());
    }

    /** Guards against backups that take the memory of requests. */
    @Test
    void isNotMadeWhereMemoryIsShort() {
      installed(2);
      for (int i = 0; i < 14; i++) {
        arriveGeneration("/long/x", 900);
      }
      assertEquals(Optional.empty(), targets.last().backup());
    }
  }
}
