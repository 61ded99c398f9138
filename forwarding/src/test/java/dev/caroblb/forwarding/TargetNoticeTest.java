package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.TargetId;
import dev.caroblb.core.TargetRun;
import dev.caroblb.scheduling.PeerMessage;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests what targets say about themselves in responses. */
class TargetNoticeTest extends ForwardingFixture {
  private TargetId targetOf(int send) {
    return targets.sent.get(send).target().id();
  }

  private void advance(long ms) {
    nowMs += ms;
    handler.tick(nowMs);
  }

  @Nested
  class Leaving {
    private static ResponseHead successOfLeavingTarget(boolean stream) {
      return new ResponseHead(
          200,
          false,
          true,
          stream,
          new TargetNotice(true, Optional.empty()),
          new ResponseFields() {});
    }

    private void respondAsLeaving() {
      handle(new ForwardingMessage.Head(7, attempt(), successOfLeavingTarget(false)));
      handle(new ForwardingMessage.Ended(7, attempt()));
    }

    /** Guards against requests to a target whose announcement of leaving was lost. */
    @Test
    void targetGetsNoFurtherRequests() {
      install(2);
      arrive("/once/x");
      TargetId left = targetOf(0);
      respondAsLeaving();
      for (int i = 1; i < 6; i++) {
        arrive("/once/x");
        assertNotEquals(left, targetOf(i));
        respond(200, "ok");
      }
    }

    /** Guards against a heartbeat from before the response that undoes what the target said. */
    @Test
    void isNotUndoneByAHeartbeat() {
      install(1);
      arrive("/once/x");
      respondAsLeaving();
      available(0);
      arrive("/once/x");
      advance(200);
      assertEquals("refused NO_TARGET", lastEvent());
    }

    /** Guards against other instances that send requests to the target until they learn it too. */
    @Test
    void isReportedOnce() {
      install(2);
      arrive("/once/x");
      final TargetRun left = new TargetRun(targetOf(0), 1);
      refuseAsLeaving();
      respond(200, "ok");
      assertEquals(List.of(left), leaving);
      handle(new ForwardingMessage.TargetLeaving(left.target(), 1));
      assertEquals(1, leaving.size());
    }

    /** Guards against generations that are lost with an engine that only says so in a response. */
    @Test
    void movesItsGenerations() {
      install(2);
      arriveGeneration("/long/x", 100);
      handle(new ForwardingMessage.Head(7, attempt(), successOfLeavingTarget(true)));
      handle(new ForwardingMessage.Body(7, attempt(), Payload.ofText(FIRST_EVENT + "id: 2\nda")));
      assertEquals(1, targets.moves.size());
    }
  }

  @Nested
  class Rejecting {
    /** Guards against requests to a target within the time that it asked for. */
    @Test
    void targetGetsNothingUntilItsTimeHasPassed() {
      install(2);
      arrive("/once/x");
      final TargetId rejecting = targetOf(0);
      rejectFor(3_000);
      respond(200, "ok");
      for (int i = 2; i < 8; i++) {
        advance(400);
        arrive("/once/x");
        assertNotEquals(rejecting, targetOf(i));
        respond(200, "ok");
      }
    }

    /** Guards against a target that is never used again. */
    @Test
    void targetIsUsedAgainAfterItsTime() {
      install(1);
      arrive("/once/x");
      rejectFor(3_000);
      advance(3_000);
      arrive("/once/x");
      assertEquals(2, targets.sent.size());
    }

    /** Guards against requests that wait although no target accepts them in time. */
    @Test
    void refusesAtOnceWithTheTimeOfTheFirstTarget() {
      install(2);
      arrive("/once/x");
      rejectFor(3_000);
      rejectFor(2_000);
      assertEquals("refused TARGET_REFUSED", lastEvent());
      assertEquals(2_000, caller.refusals.get(0).retryAfterMs());
      advance(500);
      arrive("/once/x");
      assertEquals("refused NO_TARGET", lastEvent());
      assertEquals(1_500, caller.refusals.get(1).retryAfterMs());
      assertEquals(2, targets.sent.size());
    }

    /** Guards against callers that stay away although another target accepts their request. */
    @Test
    void refusesWithTheUsualTimeWhileAnotherTargetAccepts() {
      install(6);
      arrive("/once/x");
      for (int i = 0; i < 4; i++) {
        rejectFor(30_000);
      }
      assertEquals("refused TARGET_REFUSED", lastEvent());
      assertEquals(500, caller.refusals.get(0).retryAfterMs());
    }

    /** Guards against refusing a request that a target accepts a moment later. */
    @Test
    void waitsForATargetThatAcceptsSoon() {
      install(1);
      arrive("/once/x");
      rejectFor(150);
      advance(100);
      arrive("/once/x");
      assertEquals(1, targets.sent.size());
      advance(50);
      assertEquals(2, targets.sent.size());
    }

    /** Guards against a control instance that chooses the target for the same instance again. */
    @Test
    void excludesTheTargetFromPlacement() {
      install(3);
      InstanceId control = new InstanceId("control-1");
      handle(new ForwardingMessage.ControlInstancesChanged(List.of(control)));
      arriveGeneration("/long/x", 400);
      reply(control, firstTicket(), "t2");
      rejectFor(3_000);
      PeerMessage.PlacementRequest request =
          (PeerMessage.PlacementRequest) toPeers.get(toPeers.size() - 1).message();
      assertTrue(request.need().excluded().contains(new TargetId("t2")));
      reply(control, request.ticket(), "t2");
      assertEquals(2, targets.sent.size());
      assertNotEquals(new TargetId("t2"), targetOf(1));
    }

    private void reply(InstanceId control, long ticket, String target) {
      handle(
          new ForwardingMessage.FromScheduler(
              new PeerEnvelope<>(
                  control,
                  new PeerMessage.PlacementReply(
                      ticket, ticket, Optional.of(new TargetId(target)), Optional.empty()))));
    }
  }

  /** The engine with the backup of a generation rejects requests when the generation needs it. */
  @Nested
  class Continuation {
    private TargetId backup;

    /** Starts a generation, then lets the engine with its backup reject another request. */
    private void rejectAtBackup(long ms) {
      install(2);
      arriveGeneration("/long/x", 400);
      startStream();
      backup = targets.last().backup().orElseThrow().id();
      handle(
          new ForwardingMessage.RequestArrived(
              new ForwardCall(
                  8,
                  "id-8",
                  "host",
                  "/once/x",
                  Optional.of(4_000L),
                  Optional.of("key"),
                  Optional.empty(),
                  List.of(),
                  new RecordingCaller())));
      while (!targets.last().target().id().equals(backup)) {
        rejectOther(0);
      }
      rejectOther(ms);
    }

    private void rejectOther(long ms) {
      AttemptOrder order = targets.last();
      Optional<Long> time = ms == 0 ? Optional.empty() : Optional.of(ms);
      handle(
          new ForwardingMessage.Head(
              8,
              order.attempt(),
              new ResponseHead(
                  503, true, true, false, new TargetNotice(false, time), new ResponseFields() {})));
    }

    private void loseEngineOfGeneration() {
      int attempt = targets.sent.get(0).attempt();
      handle(new ForwardingMessage.Failed(7, attempt, true, "reset"));
      handle(
          new ForwardingMessage.CopyEnded(
              7, attempt, true, new MoveOutcome.SourceEnded("refused")));
    }

    /** Guards against a send to the engine within the time that it asked for. */
    @Test
    void waitsUntilTheEngineAccepts() {
      rejectAtBackup(1_500);
      int sends = targets.sent.size();
      loseEngineOfGeneration();
      advance(1_000);
      assertEquals(sends, targets.sent.size());
      advance(500);
      assertEquals(sends + 1, targets.sent.size());
      assertEquals(backup, targets.last().target().id());
      assertTrue(targets.last().memory().isPresent());
      assertEquals(Set.of(), Set.copyOf(caller.refusals));
    }

    /** Guards against a stream that stays open without an engine that could continue it. */
    @Test
    void endsTheStreamIfTheTimeIsTooLong() {
      rejectAtBackup(30_000);
      loseEngineOfGeneration();
      assertEquals("abort", lastEvent());
    }
  }
}
