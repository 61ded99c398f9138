package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.Payload;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** The connection of a generation is lost, and its engine may go on with the generation. */
class LostConnectionTest extends ForwardingFixture {
  private static final List<MoveOutcome> UNCONFIRMED =
      List.of(
          new MoveOutcome.Failed("status 409"),
          new MoveOutcome.Failed("reset"),
          new MoveOutcome.NoRoom(Optional.empty()));

  private String source;

  private void advance(long ms) {
    for (long untilMs = nowMs + ms; nowMs < untilMs; ) {
      nowMs += 10;
      handler.tick(nowMs);
    }
  }

  private MoveOrder lastOrder() {
    return targets.moves.get(targets.moves.size() - 1);
  }

  private void assertOnlyToldToStop() {
    assertEquals(1, targets.sent.size());
    assertTrue(lastOrder().finalCopy());
    assertEquals(source, lastOrder().source());
  }

  @Nested
  class WithBackup {
    private String backup;
    private long lostMs;

    @BeforeEach
    void loseConnection() {
      install(3);
      arriveGeneration("/long/x", 900);
      startStream();
      source = targets.last().target().address();
      backup = targets.last().backup().orElseThrow().address();
      lostMs = nowMs;
      loseTarget();
    }

    /** Guards against a generation that runs at two engines at the same time. */
    @Test
    void continuesOnceTheEngineHasStoppedIt() {
      assertOnlyToldToStop();
      assertEquals(backup, lastOrder().destination());
      stopEnded(new MoveOutcome.Copied("h"));
      assertEquals(backup, targets.last().target().address());
      assertEquals(Optional.of(new CopiedMemory(source, "h")), targets.last().memory());
      assertEquals(Optional.of("1"), targets.last().lastEventId());
    }

    /** Guards against losing the memory of a stopped generation when its backup has no room. */
    @Test
    void continuesAtTheSourceIfTheBackupHasNoRoom() {
      stopEnded(new MoveOutcome.NoRoom(Optional.of("h")));
      assertEquals(source, targets.last().target().address());
      assertEquals(Optional.of(new CopiedMemory(source, "h")), targets.last().memory());
    }

    /** Guards against losing a generation that its engine no longer runs. */
    @Test
    void continuesIfTheEngineNoLongerRunsIt() {
      stopEnded(new MoveOutcome.NotRunning());
      assertEquals(Optional.of(new CopiedMemory(backup, "id-7")), targets.last().memory());
    }

    /** Guards against a second run because the engine did not execute the order to stop. */
    @Test
    void orderIsRepeatedUntilTheEngineHasStoppedIt() {
      long delayMs = 100;
      for (MoveOutcome outcome : UNCONFIRMED) {
        final int before = targets.moves.size();
        stopEnded(outcome);
        assertOnlyToldToStop();
        advance(delayMs);
        assertEquals(before + 1, targets.moves.size());
        delayMs = nowMs - lostMs;
      }
      stopEnded(new MoveOutcome.Copied("h"));
      assertEquals(2, targets.sent.size());
    }

    /** Guards against a second run, and a caller that waits, if the engine never confirms. */
    @Test
    void streamEndsIfTheEngineDoesNotConfirm() {
      for (int i = 0; i < 50; i++) {
        stopEnded(UNCONFIRMED.get(0));
        advance(100);
      }
      assertEquals(1, targets.sent.size());
      assertTrue(targets.moves.size() <= 8, "orders: " + targets.moves.size());
      assertEquals("abort", lastEvent());
      assertEquals(0, handler.running());
    }

    /** Guards against a caller that waits because the engine does not respond at all. */
    @Test
    void streamEndsIfTheEngineDoesNotRespond() {
      advance(4_000);
      assertEquals(1, targets.moves.size());
      assertEquals("abort", lastEvent());
    }
  }

  @Nested
  class BeforeTheFirstEvent {
    /** Guards against a second run of a generation that its engine has queued. */
    @Test
    void queuedGenerationDoesNotContinue() {
      install(3);
      arriveGeneration("/long/x", 900);
      source = targets.last().target().address();
      loseTarget();
      stopEnded(new MoveOutcome.NotRunning());
      assertOnlyToldToStop();
      assertEquals("refused CONNECTION_LOST", lastEvent());
    }
  }

  @Nested
  class OfLeavingEngine {
    @BeforeEach
    void copyAndLoseConnection() {
      install(3);
      arrive("/long/x");
      startStream();
      source = targets.last().target().address();
      handle(new ForwardingMessage.TargetLeaving(targets.last().target().id(), 1));
      copied();
      nowMs += 350;
      handle(new ForwardingMessage.Body(7, attempt(), Payload.ofText("ta: b\n\nid: 3\nda")));
      handler.tick(nowMs);
      assertEquals(2, targets.moves.size());
      loseTarget();
    }

    private void copied() {
      handle(
          new ForwardingMessage.CopyEnded(7, attempt(), false, new MoveOutcome.Copied("earlier")));
    }

    /** Guards against a generation that runs at two engines at the same time. */
    @Test
    void continuesOnceTheEngineHasStoppedIt() {
      assertOnlyToldToStop();
      stopEnded(new MoveOutcome.Copied("final"));
      assertEquals("final", targets.last().memory().orElseThrow().handle());
    }

    /** Guards against an update of the copy that is taken for the result of the order to stop. */
    @Test
    void resultOfAnUpdateDoesNotShowThatTheEngineStopped() {
      copied();
      assertOnlyToldToStop();
      stopEnded(new MoveOutcome.SourceEnded("refused"));
      assertEquals("earlier", targets.last().memory().orElseThrow().handle());
    }
  }
}
