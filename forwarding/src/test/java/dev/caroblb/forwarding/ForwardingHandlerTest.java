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
  class Arrival {
    /** Guards against "not found" from an instance that has no routing table yet. */
    @Test
    void refusesWithoutARoutingTable() {
      arrive("/safe/x");
      assertEquals("refused NO_CONFIGURATION", lastEvent());
    }

    /** Guards against requests without a key or with an unknown key that reach targets. */
    @Test
    void checksKeys() {
      install(1);
      arrive("/safe/x", Optional.empty());
      assertEquals("refused UNKNOWN_KEY", lastEvent());
      arrive("/safe/x", Optional.of("other"));
      assertEquals("refused UNKNOWN_KEY", lastEvent());
      arrive("/open/x", Optional.empty());
      assertEquals(1, targets.sent.size());
      arrive("/none/x");
      assertEquals("refused UNKNOWN_ROUTE", lastEvent());
    }

    /** Guards against passing targets a longer timeout than the caller has left. */
    @Test
    void passesOnTheRemainingTime() {
      install(0);
      arrive("/safe/x");
      nowMs += 60;
      available(0);
      assertEquals(3_940, targets.last().timeoutMs());
      assertEquals(Optional.of("farm"), targets.last().workspace());
    }

    /** Guards against requests that wait longer for a target than a fraction of their objective. */
    @Test
    void refusesEarlyWithoutATarget() {
      install(0);
      arrive("/safe/x");
      nowMs += 100;
      handler.tick(nowMs);
      assertEquals("refused NO_TARGET", lastEvent());
    }
  }

  @Nested
  class RequestWithSeveralTimers {
    /** Guards against sending or refusing a request again after its refusal. */
    @Test
    void isRefusedOnce() {
      install(0);
      arrive("/safe/x");
      handle(new ForwardingMessage.TargetGone(new TargetId("other"), 1));
      nowMs += 100;
      handler.tick(nowMs);
      assertEquals(List.of("refused NO_TARGET"), caller.events);
    }
  }

  @Nested
  class RequestThatMayRunOnce {
    /** Guards against a second run of a request that may already have run. */
    @Test
    void isNotSentAgainOnceItWasSent() {
      install(2);
      arrive("/once/x");
      loseTarget();
      assertEquals(1, targets.sent.size());
      assertEquals("refused CONNECTION_LOST", lastEvent());
    }

    /** Guards against losing a request that no target has received. */
    @Test
    void isSentAgainWhenNothingWasSent() {
      install(2);
      arrive("/once/x");
      handle(new ForwardingMessage.Failed(7, attempt(), false, "refused"));
      assertEquals(2, targets.sent.size());
      assertNotEquals(targets.sent.get(0).target(), targets.sent.get(1).target());
      respond(200, "ok");
      assertEquals("answer 200 ok", lastEvent());
    }

    /** Guards against relaying a status that means "not run" when the target ran the request. */
    @Test
    void statusesThatMeanNotRunAreNotRelayed() {
      install(1);
      arrive("/once/x");
      respond(503, "busy");
      assertEquals("refused CONNECTION_LOST", lastEvent());
    }

    /** Guards against relaying an unsigned response or the response to another request. */
    @Test
    void responsesNotSentByTheTargetAreNotRelayed() {
      install(1);
      arrive("/once/x");
      handle(
          new ForwardingMessage.Head(
              7, attempt(), new ResponseHead(200, false, false, false, new ResponseFields() {})));
      assertEquals("refused CONNECTION_LOST", lastEvent());
      assertEquals(1, targets.cancelled.size());
    }

    /** Guards against a refusal that hides that no target ran the request. */
    @Test
    void isRefusedAsNotRunWhenTargetsRefuse() {
      install(1);
      arrive("/once/x");
      refuseByTarget();
      assertEquals("refused TARGET_REFUSED", lastEvent());
    }
  }

  @Nested
  class RequestThatMayRunAgain {
    /** Guards against more runs than the route allows. */
    @Test
    void runsAsOftenAsTheRouteAllows() {
      install(4);
      arrive("/safe/x");
      respond(500, "error");
      assertEquals(2, targets.sent.size());
      assertEquals(List.of(RetryReason.TARGET_FAILED), retries);
      respond(500, "error");
      assertEquals("answer 500 error", lastEvent());
      assertEquals(2, targets.sent.size());
    }

    /** Guards against processing messages of a cancelled attempt. */
    @Test
    void lateMessagesOfAnEarlierAttemptChangeNothing() {
      install(2);
      arrive("/safe/x");
      int first = attempt();
      loseTarget();
      handle(new ForwardingMessage.Ended(7, first));
      handle(new ForwardingMessage.Failed(7, first, true, "late"));
      assertEquals(2, targets.sent.size());
      respond(200, "ok");
      assertEquals("answer 200 ok", lastEvent());
    }
  }

  @Nested
  class Timeout {
    /** Guards against a caller that waits beyond its timeout and an attempt that keeps running. */
    @Test
    void endsTheRequestAndItsAttempt() {
      install(1);
      arrive("/safe/x");
      nowMs += 4_000;
      handler.tick(nowMs);
      assertEquals("refused DEADLINE_AFTER_START", lastEvent());
      assertEquals(1, targets.cancelled.size());
      assertEquals(0, handler.running());
    }

    /** Guards against an attempt that keeps running after its caller disconnected. */
    @Test
    void callerDisconnectCancelsTheAttempt() {
      install(1);
      arrive("/long/x");
      handle(new ForwardingMessage.CallerGone(7));
      assertEquals(1, targets.cancelled.size());
      assertEquals(0, handler.running());
    }
  }

  @Nested
  class PlannedStop {
    /** Guards against aborting running requests when new ones are refused. */
    @Test
    void refusesNewRequestsAndFinishesTheOthers() {
      install(1);
      arrive("/safe/x");
      handle(new ForwardingMessage.RefuseNew());
      handle(
          new ForwardingMessage.RequestArrived(
              new ForwardCall(
                  8,
                  "id-8",
                  "host",
                  "/safe/x",
                  Optional.empty(),
                  Optional.of("key"),
                  Optional.empty(),
                  List.of(),
                  caller)));
      assertEquals("refused DRAINING", lastEvent());
      respond(200, "ok");
      assertEquals("answer 200 ok", lastEvent());
    }
  }
}
