package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.Payload;
import dev.caroblb.core.TargetId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Engines that are taken away, whose connections stay open and silent. */
class SilentEngineTest extends ForwardingFixture {
  /** Callers abandon a stream some time later. */
  private static final long MAX_SILENCE_MS = 5_000;

  private static final long STEP_MS = 50;

  private void advance(long ms) {
    for (long passed = 0; passed < ms; passed += STEP_MS) {
      nowMs += STEP_MS;
      if (handler.nextTickMs() <= nowMs) {
        handler.tick(nowMs);
      }
    }
  }

  private TargetId engine() {
    return targets.last().target().id();
  }

  private void leave() {
    handle(new ForwardingMessage.TargetLeaving(engine(), 1));
  }

  /** Lets the engine that runs the generation end; its process refuses connections. */
  private void refuseStop() {
    handle(
        new ForwardingMessage.CopyEnded(
            7, attempt(), true, new MoveOutcome.SourceEnded("refused")));
  }

  private void copied(boolean finalCopy) {
    handle(
        new ForwardingMessage.CopyEnded(7, attempt(), finalCopy, new MoveOutcome.Copied("handle")));
  }

  /**
   * Moves a generation that is too short for a backup from its first engine, which leaves, to a
   * second one.
   */
  private void moveOnce(int engines) {
    install(engines);
    arriveGeneration("/long/x", 100);
    startStream();
    leave();
    advance(600);
    assertTrue(targets.moves.get(targets.moves.size() - 1).finalCopy());
    copied(true);
    handle(new ForwardingMessage.Head(7, attempt(), head(200, true)));
    handle(new ForwardingMessage.Body(7, attempt(), Payload.ofText(SECOND_EVENT)));
  }

  @Nested
  class TakenAwayTwice {
    /** Guards against a stream that stays silent because the copy to a third engine hangs. */
    @Test
    void continuesAtAThirdEngine() {
      moveOnce(3);
      final TargetId second = engine();
      leave();
      advance(600);
      assertTrue(targets.moves.get(targets.moves.size() - 1).finalCopy());
      copied(true);
      assertNotEquals(second, engine());
      assertEquals(3, targets.sent.size());
    }

    /** Guards against silence until the caller leaves when the second engine has ended. */
    @Test
    void endsOnceTheEngineHasEnded() {
      moveOnce(3);
      leave();
      advance(600);
      refuseStop();
      assertEquals("abort", lastEvent());
    }

    /** Guards against silence until the caller leaves when nothing answers at all. */
    @Test
    void endsWithoutAnyAnswer() {
      moveOnce(3);
      leave();
      advance(MAX_SILENCE_MS);
      assertEquals("abort", lastEvent());
    }

    /** Guards against silence until the caller leaves when there is no third engine. */
    @Test
    void endsWithoutAnotherEngine() {
      moveOnce(2);
      leave();
      advance(MAX_SILENCE_MS);
      assertEquals("abort", lastEvent());
    }
  }

  @Nested
  class WithABackup {
    /** Guards against a generation whose backup is not used while its engine stays silent. */
    @Test
    void continuesAtTheBackup() {
      install(3);
      arriveGeneration("/long/x", 400);
      startStream();
      final TargetId backup = targets.last().backup().orElseThrow().id();
      leave();
      advance(600);
      refuseStop();
      assertEquals(backup, engine());
      assertTrue(targets.last().memory().isPresent());
    }
  }

  @Nested
  class WithoutNotice {
    /** Guards against a silent stream of an engine that is not heard from any more. */
    @Test
    void continuesAtTheBackup() {
      install(3);
      arriveGeneration("/long/x", 400);
      startStream();
      final TargetId backup = targets.last().backup().orElseThrow().id();
      handle(new ForwardingMessage.TargetGone(engine(), 1));
      advance(600);
      refuseStop();
      assertEquals(backup, engine());
    }

    /** Guards against moving a generation whose engine only lost its heartbeats. */
    @Test
    void generationThatGoesOnStays() {
      install(3);
      arriveGeneration("/long/x", 400);
      startStream();
      handle(new ForwardingMessage.TargetGone(engine(), 1));
      for (int i = 3; i < 30; i++) {
        advance(150);
        handle(
            new ForwardingMessage.Body(7, attempt(), Payload.ofText("id: " + i + "\ndata: b\n\n")));
      }
      assertEquals(0, targets.moves.size());
      assertEquals(1, targets.sent.size());
    }
  }
}
