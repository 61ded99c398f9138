package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.TargetId;
import dev.caroblb.scheduling.PeerMessage;
import dev.caroblb.targets.PlacementNeed;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests generations whose targets a control instance chooses. */
class ForwardingPlacementTest extends ForwardingFixture {
  private static final InstanceId CONTROL = new InstanceId("control-1");

  private void requestPlacement() {
    install(3);
    handle(new ForwardingMessage.ControlInstancesChanged(List.of(CONTROL)));
    arriveGeneration("/long/x", 400);
  }

  private void receive(PeerMessage message) {
    handle(new ForwardingMessage.FromScheduler(new PeerEnvelope<>(CONTROL, message)));
  }

  private void grant(Optional<TargetId> target) {
    receive(new PeerMessage.PlacementReply(firstTicket(), 1, target, Optional.empty()));
  }

  private List<PeerMessage> sentMessages() {
    return toPeers.stream().map(PeerEnvelope::message).toList();
  }

  private PeerEnvelope<PeerMessage> lastPlacementRequest() {
    return toPeers.stream()
        .filter(message -> message.message() instanceof PeerMessage.PlacementRequest)
        .reduce((earlier, later) -> later)
        .orElseThrow();
  }

  private void advance(long ms) {
    nowMs += ms;
    handler.tick(nowMs);
  }

  @Nested
  class Replied {
    /** Guards against an instance that chooses another target than the control instance. */
    @Test
    void usesTheChosenTarget() {
      requestPlacement();
      assertEquals(List.of(), targets.sent);
      grant(Optional.of(new TargetId("t2")));
      assertEquals(new TargetId("t2"), targets.last().target().id());
    }

    /** Guards against losing a request whose chosen target is leaving. */
    @Test
    void usesAnotherTargetWhenTheChosenOneIsLeaving() {
      requestPlacement();
      handle(new ForwardingMessage.TargetLeaving(new TargetId("t2"), 1));
      grant(Optional.of(new TargetId("t2")));
      assertEquals(1, targets.sent.size());
      assertTrue(!targets.last().target().id().equals(new TargetId("t2")));
    }

    /** Guards against a second send after a reply that arrives once the request was placed. */
    @Test
    void lateReplyDoesNotSendAgain() {
      requestPlacement();
      advance(100);
      assertEquals(1, targets.sent.size());
      grant(Optional.of(new TargetId("t2")));
      assertEquals(1, targets.sent.size());
    }
  }

  @Nested
  class Rejected {
    /** Guards against a rejected request that waits, or is told another time to return. */
    @Test
    void isRefusedAsNotRunWithItsTime() {
      requestPlacement();
      receive(new PeerMessage.PlacementRejected(firstTicket(), 730));
      assertEquals("refused BACKLOG_FULL", lastEvent());
      assertEquals(730, caller.refusals.get(0).retryAfterMs());
      advance(1_000);
      assertEquals(List.of(), targets.sent);
      assertEquals(1, caller.events.size());
    }

    /** Guards against a second answer to a request that was placed before the rejection arrived. */
    @Test
    void isIgnoredAfterTheReplyTimeout() {
      requestPlacement();
      advance(100);
      receive(new PeerMessage.PlacementRejected(firstTicket(), 730));
      assertEquals(1, targets.sent.size());
      assertEquals(List.of(), caller.refusals);
    }

    /** Guards against a coordinator that rejects by the times of another request. */
    @Test
    void dependsOnTheTimesOfTheRequest() {
      requestPlacement();
      PlacementNeed need = ((PeerMessage.PlacementRequest) lastPlacementRequest().message()).need();
      assertEquals(0, need.sinceArrivalMs());
      assertTrue(need.usefulMs() >= 2_000);
    }
  }

  @Nested
  class Queued {
    /**
     * Guards against placing a queued request at an engine without room after the reply timeout.
     */
    @Test
    void waitsBeyondTheReplyTimeout() {
      requestPlacement();
      receive(new PeerMessage.PlacementQueued(firstTicket()));
      advance(100);
      assertEquals(List.of(), targets.sent);
    }

    /** Guards against queueing a request until its timeout, and against a wrong refusal reason. */
    @Test
    void isRefusedEarlyAndCancelled() {
      requestPlacement();
      receive(new PeerMessage.PlacementQueued(firstTicket()));
      advance(2_400);
      assertEquals("refused BACKLOG_FULL", lastEvent());
      assertTrue(sentMessages().contains(new PeerMessage.PlacementCancelled(firstTicket())));
      grant(Optional.of(new TargetId("t2")));
      advance(1_000);
      assertEquals(List.of(), targets.sent);
      assertEquals(1, caller.events.size());
    }

    /** Guards against waiting for a control instance that is no longer available. */
    @Test
    void usesTheNextControlInstanceAfterAChange() {
      requestPlacement();
      receive(new PeerMessage.PlacementQueued(firstTicket()));
      InstanceId other = new InstanceId("control-2");
      handle(new ForwardingMessage.ControlInstancesChanged(List.of(other)));
      advance(600);
      PeerEnvelope<PeerMessage> request = lastPlacementRequest();
      assertEquals(other, request.peer());
    }

    /**
     * Guards against a timer of an earlier wait that ends the wait for a newer placement request.
     */
    @Test
    void waitsForTheNextControlInstance() {
      requestPlacement();
      advance(30);
      receive(new PeerMessage.PlacementQueued(firstTicket()));
      // From here on two timers fire, 30 ms apart.
      advance(30);
      handle(new ForwardingMessage.ControlInstancesChanged(List.of(new InstanceId("control-2"))));
      advance(470);
      advance(30);
      assertEquals(List.of(), targets.sent);
    }

    /** Guards against keeping an engine reserved for a caller that disconnected. */
    @Test
    void isCancelledWhenTheCallerDisconnects() {
      requestPlacement();
      receive(new PeerMessage.PlacementQueued(firstTicket()));
      handle(new ForwardingMessage.CallerGone(7));
      assertTrue(sentMessages().contains(new PeerMessage.PlacementCancelled(firstTicket())));
    }
  }

  @Nested
  class FailingTarget {
    /** Guards against a control instance that keeps choosing a target that fails the requests. */
    @Test
    void isExcluded() {
      requestPlacement();
      grant(Optional.of(new TargetId("t2")));
      loseTarget();
      arriveGeneration("/long/x", 400);
      PeerMessage.PlacementRequest request =
          (PeerMessage.PlacementRequest) lastPlacementRequest().message();
      assertEquals(Set.of(new TargetId("t2")), request.need().excluded());
    }
  }

  @Nested
  class Moving {
    /** Guards against many instances moving their generations to the same engine. */
    @Test
    void requestsTheDestination() {
      requestPlacement();
      grant(Optional.of(new TargetId("t0")));
      startStream();
      handle(new ForwardingMessage.TargetLeaving(new TargetId("t0"), 1));
      PeerMessage.PlacementRequest request =
          (PeerMessage.PlacementRequest) sentMessages().get(sentMessages().size() - 1);
      assertEquals(PlacementNeed.Purpose.MOVE, request.need().purpose());
      receive(
          new PeerMessage.PlacementReply(
              request.ticket(), 2, Optional.of(new TargetId("t1")), Optional.empty()));
      assertEquals("10.0.0.1:80", targets.moves.get(0).destination());
    }

    /** Guards against losing a generation with its engine because no control instance replied. */
    @Test
    void choosesTheDestinationWithoutAReply() {
      requestPlacement();
      grant(Optional.of(new TargetId("t0")));
      startStream();
      handle(new ForwardingMessage.TargetLeaving(new TargetId("t0"), 1));
      advance(100);
      assertEquals(1, targets.moves.size());
    }
  }
}
