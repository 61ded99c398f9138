package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.RetryReason;
import dev.caroblb.core.TargetId;
import dev.caroblb.routing.CallerLimits;
import dev.caroblb.routing.EngineLimits;
import dev.caroblb.routing.RepeatRule;
import dev.caroblb.routing.Route;
import dev.caroblb.routing.RoutingTable;
import dev.caroblb.routing.Service;
import dev.caroblb.routing.WeightedService;
import dev.caroblb.routing.Workspace;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ForwardingHandlerTest {
  private static final FailureDomain ZONE = new FailureDomain("zone-a");
  private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
  private static final String SECOND_EVENT = "id: 2\ndata: b\n\n";

  private final RecordingTargets targets = new RecordingTargets();
  private final RecordingCaller caller = new RecordingCaller();
  private final List<RetryReason> retries = new ArrayList<>();
  private final ForwardingHandler handler =
      new ForwardingHandler(
          new ForwardingSettings(new InstanceId("entry"), ZONE, 10, 0.2, 10_000, 20),
          targets,
          message -> true,
          new Counts(),
          new Random(1));
  private long nowMs = 1_000;

  private final class Counts implements CallObserver {
    @Override
    public void refused(RefusalReason reason) {}

    @Override
    public void retried(RetryReason reason) {
      retries.add(reason);
    }

    @Override
    public void answered(long elapsedMs) {}

    @Override
    public void paused(long pauseMs) {}
  }

  private static Route route(String prefix, RepeatRule repeat, int attempts, boolean resumable) {
    return new Route(
        "r" + prefix.replace("/", ""),
        "host",
        prefix,
        repeat,
        5_000,
        800,
        1,
        List.of(new WeightedService("service", 1)),
        attempts,
        prefix.equals("/open/"),
        false,
        resumable,
        180);
  }

  private static RoutingTable table() {
    return new RoutingTable(
        3,
        List.of(
            route("/safe/", RepeatRule.REPEATABLE, 2, false),
            route("/once/", RepeatRule.ONCE, 1, false),
            route("/long/", RepeatRule.STREAM, 1, false),
            route("/short/", RepeatRule.STREAM, 2, true),
            route("/open/", RepeatRule.REPEATABLE, 1, false)),
        Map.of(
            "service",
            new Service("service", 100, Optional.of(new EngineLimits(24, 34_000, true, true, 4)))),
        new CallerLimits(1, 1, 1, 1),
        Optional.of(Map.of("key", new Workspace("farm", Optional.empty()))));
  }

  private void give(ForwardingMessage message) {
    handler.handle(message, nowMs);
  }

  private void installed(int count) {
    give(new ForwardingMessage.TableInstalled(table()));
    for (int i = 0; i < count; i++) {
      available(i);
    }
  }

  private void available(int index) {
    give(
        new ForwardingMessage.TargetAvailable(
            new TargetInfo(
                new TargetId("t" + index), 1, "service", "10.0.0." + index + ":80", ZONE)));
  }

  private void arrive(String path) {
    arrive(path, Optional.of("key"));
  }

  private void arrive(String path, Optional<String> key) {
    give(
        new ForwardingMessage.Arrived(
            new ForwardCall(
                7, "id-7", "host", path, Optional.of(4_000L), key, Optional.empty(), caller)));
  }

  private static AnswerHead head(int status, boolean stream) {
    return new AnswerHead(status, false, true, stream, new AnswerFields() {});
  }

  private int attempt() {
    return targets.last().attempt();
  }

  private void answered(int status, String body) {
    int attempt = attempt();
    give(new ForwardingMessage.Head(7, attempt, head(status, false)));
    give(new ForwardingMessage.Body(7, attempt, Payload.ofText(body)));
    give(new ForwardingMessage.Ended(7, attempt));
  }

  private void refusedByTarget() {
    give(
        new ForwardingMessage.Head(
            7, attempt(), new AnswerHead(503, true, true, false, new AnswerFields() {})));
  }

  private void streamBegins() {
    give(new ForwardingMessage.Head(7, attempt(), head(200, true)));
    give(new ForwardingMessage.Body(7, attempt(), Payload.ofText(FIRST_EVENT + "id: 2\nda")));
  }

  private void lost() {
    give(new ForwardingMessage.Failed(7, attempt(), true, "reset"));
  }

  private String lastEvent() {
    return caller.events.get(caller.events.size() - 1);
  }

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
