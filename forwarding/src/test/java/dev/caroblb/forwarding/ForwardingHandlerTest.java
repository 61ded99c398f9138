package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import dev.caroblb.core.RetryReason;
import dev.caroblb.core.TargetId;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ForwardingHandlerTest extends ForwardingFixture {
  @Nested
  class Entrance {
    /** Guards against a wrong "not found" from an instance that knows no table yet. */
    @Test
    void refusesAsNotRunWithoutATable() {
      arrive("/safe/x");
      assertEquals("refused NO_CONFIGURATION", lastEvent());
    }

    /** Guards against requests that reach targets without a key or with an unknown one. */
    @Test
    void checksKeys() {
      installed(1);
      arrive("/safe/x", Optional.empty());
      assertEquals("refused UNKNOWN_KEY", lastEvent());
      arrive("/safe/x", Optional.of("other"));
      assertEquals("refused UNKNOWN_KEY", lastEvent());
      arrive("/open/x", Optional.empty());
      assertEquals(1, targets.sent.size());
      arrive("/none/x");
      assertEquals("refused UNKNOWN_ROUTE", lastEvent());
    }

    /** Guards against targets that are given more time than the caller waits. */
    @Test
    void handsOnTheTimeThatIsLeft() {
      installed(0);
      arrive("/safe/x");
      nowMs += 60;
      available(0);
      assertEquals(3_940, targets.last().waitMs());
      assertEquals(Optional.of("farm"), targets.last().workspace());
    }

    /** Guards against requests that wait for a target beyond a share of their objective. */
    @Test
    void refusesSoonWhenNoTargetComes() {
      installed(0);
      arrive("/safe/x");
      nowMs += 100;
      handler.tick(nowMs);
      assertEquals("refused NO_TARGET", lastEvent());
    }
  }

  @Nested
  class RequestWithSeveralTimers {
    /** Guards against a request that is sent or refused again after its refusal. */
    @Test
    void isRefusedOnce() {
      installed(0);
      arrive("/safe/x");
      give(new ForwardingMessage.TargetGone(new TargetId("other"), 1));
      nowMs += 100;
      handler.tick(nowMs);
      assertEquals(List.of("refused NO_TARGET"), caller.events);
    }
  }

  @Nested
  class RequestThatMayRunOnce {
    /** Guards against a second run after the first may have happened. */
    @Test
    void isNotSentAgainOnceItWasSent() {
      installed(2);
      arrive("/once/x");
      lost();
      assertEquals(1, targets.sent.size());
      assertEquals("refused CONNECTION_LOST", lastEvent());
    }

    /** Guards against losing a request that no target has seen. */
    @Test
    void isSentAgainWhenNothingWasSent() {
      installed(2);
      arrive("/once/x");
      give(new ForwardingMessage.Failed(7, attempt(), false, "refused"));
      assertEquals(2, targets.sent.size());
      assertNotEquals(targets.sent.get(0).target(), targets.sent.get(1).target());
      answered(200, "ok");
      assertEquals("answer 200 ok", lastEvent());
    }

    /** Guards against "not run" for a request whose target gave such a status after running it. */
    @Test
    void statusesThatPromiseNothingRanAreNotPassedOn() {
      installed(1);
      arrive("/once/x");
      answered(503, "busy");
      assertEquals("refused CONNECTION_LOST", lastEvent());
    }

    /** Guards against an answer of another request, or one that is not signed. */
    @Test
    void foreignAnswersAreNotPassedOn() {
      installed(1);
      arrive("/once/x");
      give(
          new ForwardingMessage.Head(
              7, attempt(), new AnswerHead(200, false, false, false, new AnswerFields() {})));
      assertEquals("refused CONNECTION_LOST", lastEvent());
      assertEquals(1, targets.cancelled.size());
    }

    /** Guards against a refusal that is not told although all targets refused. */
    @Test
    void isRefusedAsNotRunWhenTargetsRefuse() {
      installed(1);
      arrive("/once/x");
      refusedByTarget();
      assertEquals("refused TARGET_REFUSED", lastEvent());
    }
  }

  @Nested
  class RequestThatMayRunAgain {
    /** Guards against more runs than the route allows. */
    @Test
    void runsAsOftenAsTheRouteAllows() {
      installed(4);
      arrive("/safe/x");
      answered(500, "error");
      assertEquals(2, targets.sent.size());
      assertEquals(List.of(RetryReason.TARGET_FAILED), retries);
      answered(500, "error");
      assertEquals("answer 500 error", lastEvent());
      assertEquals(2, targets.sent.size());
    }

    /** Guards against messages of an attempt that was given up. */
    @Test
    void lateMessagesOfAnEarlierAttemptChangeNothing() {
      installed(2);
      arrive("/safe/x");
      int first = attempt();
      lost();
      give(new ForwardingMessage.Ended(7, first));
      give(new ForwardingMessage.Failed(7, first, true, "late"));
      assertEquals(2, targets.sent.size());
      answered(200, "ok");
      assertEquals("answer 200 ok", lastEvent());
    }
  }

  @Nested
  class TimeLimit {
    /** Guards against a caller that is kept waiting, and a target that works for nobody. */
    @Test
    void endsTheRequestAndItsAttempt() {
      installed(1);
      arrive("/safe/x");
      nowMs += 4_000;
      handler.tick(nowMs);
      assertEquals("refused DEADLINE_AFTER_START", lastEvent());
      assertEquals(1, targets.cancelled.size());
      assertEquals(0, handler.running());
    }

    /** Guards against work for a caller that has left. */
    @Test
    void aCallerThatLeftCancelsTheAttempt() {
      installed(1);
      arrive("/long/x");
      give(new ForwardingMessage.CallerGone(7));
      assertEquals(1, targets.cancelled.size());
      assertEquals(0, handler.running());
    }
  }

  @Nested
  class PlannedStop {
    /** Guards against running requests that are cut off when new ones are refused. */
    @Test
    void refusesNewRequestsAndFinishesTheOthers() {
      installed(1);
      arrive("/safe/x");
      give(new ForwardingMessage.RefuseNew());
      give(
          new ForwardingMessage.Arrived(
              new ForwardCall(
                  8,
                  "id-8",
                  "host",
                  "/safe/x",
                  Optional.empty(),
                  Optional.of("key"),
                  Optional.empty(),
                  caller)));
      assertEquals("refused DRAINING", lastEvent());
      answered(200, "ok");
      assertEquals("answer 200 ok", lastEvent());
    }
  }
}
