package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.TargetId;
import dev.caroblb.scheduling.PeerMessage;
import dev.caroblb.scheduling.ProcessSequence;
import dev.caroblb.targets.PlacementNeed;
import dev.caroblb.targets.TargetLoad;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CoordinatorClientTest {
  private static final InstanceId A = new InstanceId("a");
  private static final InstanceId B = new InstanceId("b");

  private final List<PeerEnvelope<PeerMessage>> sent = new ArrayList<>();
  private final CoordinatorClient client =
      new CoordinatorClient(sent::add, new ProcessSequence(new Random(1)));

  private static List<TargetLoad> loads(long requests) {
    return List.of(new TargetLoad(new TargetId("t"), 1, requests, 100 * requests, 0));
  }

  private static Exchange exchange(long id) {
    return ForwardingFixture.exchange(
        id, Optional.of(new GenerationSize(3_000, 1_000, Optional.empty())));
  }

  private Optional<Long> request(Exchange exchange, long nowMs) {
    return client.requestPlacement(
        exchange,
        exchange.placementNeed(PlacementNeed.Purpose.START, ForwardingFixture.ZONE, nowMs),
        nowMs);
  }

  /** Ticket of the placement request that was sent as the given one, counted from 1. */
  private long ticket(int request) {
    return ForwardingFixture.tickets(sent).get(request - 1);
  }

  private Optional<Long> reply(int request, long grant) {
    return client.replied(
        new PeerMessage.PlacementReply(
            ticket(request), grant, Optional.of(new TargetId("t")), Optional.empty()),
        1);
  }

  private PeerEnvelope<PeerMessage> last() {
    return sent.get(sent.size() - 1);
  }

  @Nested
  class PlacementRequests {
    /** Guards against waiting for a reply when there is no control instance. */
    @Test
    void areNotSentWithoutAControlInstance() {
      assertEquals(Optional.empty(), request(exchange(1), 0));
      assertEquals(List.of(), sent);
    }

    /** Guards against assigning a reply to another placement request. */
    @Test
    void areRepliedToOnce() {
      client.setControlInstances(List.of(A));
      assertTrue(request(exchange(1), 0).isPresent());
      assertTrue(request(exchange(2), 0).isPresent());
      assertEquals(Optional.of(2L), reply(2, 1));
      assertEquals(Optional.of(1L), reply(1, 2));
      assertEquals(Optional.empty(), reply(1, 2));
    }

    /** Guards against keeping engines reserved for calls that have ended. */
    @Test
    void areCancelledWhenAQueuedCallEnds() {
      client.setControlInstances(List.of(A));
      Exchange exchange = exchange(1);
      request(exchange, 0);
      client.queued(ticket(1), 1);
      exchange.setQueued();
      client.cancelPlacement(exchange);
      assertEquals(new PeerMessage.PlacementCancelled(ticket(1)), last().message());
      assertEquals(Optional.empty(), reply(1, 1));
    }

    /** Guards against waiting for a control instance that is no longer available. */
    @Test
    void goToAnotherControlInstanceAfterTwoTimeouts() {
      client.setControlInstances(List.of(A, B));
      for (int i = 1; i <= 2; i++) {
        Exchange exchange = exchange(i);
        request(exchange, 0);
        assertEquals(A, last().peer());
        client.timedOut(exchange);
      }
      request(exchange(3), 0);
      assertEquals(B, last().peer());
    }
  }

  @Nested
  class LoadReports {
    /** Guards against load that the control instance counts twice. */
    @Test
    void nameTheLastGrantThatTheyInclude() {
      client.setControlInstances(List.of(A));
      request(exchange(1), 0);
      request(exchange(2), 0);
      reply(1, 7);
      client.tick(loads(1), 60);
      assertEquals(new PeerMessage.LoadReport(7, loads(1)), last().message());
    }

    /** Guards against traffic for unchanged load. */
    @Test
    void areNotRepeatedImmediately() {
      client.setControlInstances(List.of(A));
      client.remoteLoadReported(A, 0);
      client.tick(loads(1), 60);
      client.tick(loads(1), 120);
      assertEquals(1, sent.size());
      client.tick(loads(1), 1_060);
      assertEquals(2, sent.size());
    }

    /** Guards against reporting forever to a control instance that is no longer available. */
    @Test
    void goToAnotherControlInstanceWithoutAReply() {
      client.setControlInstances(List.of(A, B));
      client.remoteLoadReported(A, 0);
      client.tick(loads(1), 10);
      InstanceId first = last().peer();
      client.tick(loads(2), 10_000);
      assertNotEquals(first, sent.get(1).peer());
    }

    /**
     * Guards against instances that stay with different coordinators, each with partial load data.
     */
    @Test
    void returnToTheFirstWhenTheControlInstancesChange() {
      client.setControlInstances(List.of(A, B));
      client.remoteLoadReported(A, 0);
      client.tick(loads(1), 10);
      client.tick(loads(2), 10_000);
      client.setControlInstances(List.of(A, B, new InstanceId("c")));
      sent.clear();
      client.tick(loads(3), 10_200);
      assertEquals(List.of(A), sent.stream().map(PeerEnvelope::peer).toList());
    }

    /** Guards against instances that stay with different coordinators after the first one hung. */
    @Test
    void returnToTheFirstWhenItReportsAgain() {
      client.setControlInstances(List.of(A, B));
      client.remoteLoadReported(A, 0);
      client.tick(loads(1), 10_000);
      client.remoteLoadReported(A, 10_010);
      sent.clear();
      client.tick(loads(2), 10_100);
      assertEquals(List.of(A), sent.stream().map(PeerEnvelope::peer).toList());
    }
  }
}
