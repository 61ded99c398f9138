package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.TargetId;
import dev.caroblb.forwarding.limit.TargetLimits;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A process of an instance was replaced, and its peers still have messages or state of it. */
class RestartedInstanceTest extends ForwardingFixture {
  private static final InstanceId ENTRY = new InstanceId("entry-1");
  private static final InstanceId CONTROL = new InstanceId("control-1");

  /** The fixture and the other sequences use seed 1. */
  private static final long SEED_OF_OTHER_PROCESS = 2;

  @Nested
  class Entry {
    private void arriveAtControlledEntry() {
      install(3);
      handle(new ForwardingMessage.ControlInstancesChanged(List.of(CONTROL), 9));
      arriveGeneration("/long/x", 400);
    }

    private void reply(long ticket, String target) {
      PeerMessage reply =
          new PeerMessage.PlacementReply(
              ticket, 1, Optional.of(new TargetId(target)), Optional.empty());
      handle(new ForwardingMessage.FromPeer(new PeerEnvelope<>(CONTROL, reply)));
    }

    /** Guards against a request that is sent to the target of a request of an earlier process. */
    @Test
    void ignoresRepliesToItsEarlierProcess() {
      final long earlierTicket = ticketOfEarlierProcess();
      arriveAtControlledEntry();
      reply(earlierTicket, "t2");
      assertEquals(List.of(), targets.sent);
      reply(firstTicket(), "t1");
      assertEquals(new TargetId("t1"), targets.last().target().id());
    }

    private long ticketOfEarlierProcess() {
      List<PeerEnvelope<PeerMessage>> sent = new ArrayList<>();
      CoordinatorClient earlier =
          new CoordinatorClient(sent::add, new ProcessSequence(new Random(SEED_OF_OTHER_PROCESS)));
      earlier.setControlInstances(List.of(CONTROL));
      Exchange exchange = exchange(1, Optional.of(new GenerationSize(1, 1, Optional.empty())));
      PlacementNeed need = exchange.placementNeed(PlacementNeed.Purpose.START, ZONE, nowMs);
      assertTrue(earlier.requestPlacement(exchange, need, nowMs).isPresent());
      return tickets(sent).get(0);
    }

    /** Guards against a request that runs at a service to which its route does not lead. */
    @Test
    void ignoresATargetOfAnotherService() {
      arriveAtControlledEntry();
      handle(
          new ForwardingMessage.TargetAvailable(
              new TargetInfo(new TargetId("other"), 1, "other", "10.0.0.9:80", ZONE)));
      reply(firstTicket(), "other");
      assertEquals("service", targets.last().target().service());
    }
  }

  @Nested
  class Coordinator {
    private static final long TOKENS = 30_000;

    private final List<PeerEnvelope<PeerMessage>> sent = new ArrayList<>();
    private final PlacementLedger ledger = new PlacementLedger(PlacementCoordinator.STALE_MS);
    private final TargetLimits limits = new TargetLimits();
    private final TargetPool pool = new TargetPool(new Random(1), List.of(ledger), limits);
    private final ProcessSequence tickets = new ProcessSequence(new Random(1));
    private final PlacementCoordinator coordinator =
        new PlacementCoordinator(
            sent::add, pool, ledger, limits, new ProcessSequence(new Random(1)));

    private long request(ProcessSequence numbers) {
      long ticket = numbers.next();
      PlacementNeed need =
          new PlacementNeed(
              PlacementNeed.Purpose.START,
              "service",
              TOKENS,
              3_000,
              Set.of(),
              ZONE,
              false,
              1,
              1_800);
      coordinator.placementRequested(ENTRY, new PeerMessage.PlacementRequest(ticket, need), nowMs);
      return ticket;
    }

    private PeerMessage lastSent() {
      return sent.get(sent.size() - 1).message();
    }

    private void fillEngine() {
      pool.setEngineLimits(table().engines());
      pool.available(new TargetInfo(new TargetId("t"), 1, "service", "10.0.0.1:80", ZONE));
      request(tickets);
      assertTrue(lastSent() instanceof PeerMessage.PlacementReply);
    }

    /** Guards against an engine that is granted to a request that ended with its process. */
    @Test
    void forgetsQueuedRequestsOfAnEarlierProcess() {
      fillEngine();
      long grant = ((PeerMessage.PlacementReply) lastSent()).grant();
      request(tickets);
      assertTrue(lastSent() instanceof PeerMessage.PlacementQueued);
      long ticket = request(new ProcessSequence(new Random(SEED_OF_OTHER_PROCESS)));
      coordinator.loadReported(ENTRY, new PeerMessage.LoadReport(grant, List.of()), nowMs);
      assertEquals(1, repliesAfterTheFirst().size());
      assertEquals(ticket, repliesAfterTheFirst().get(0).ticket());
    }

    private List<PeerMessage.PlacementReply> repliesAfterTheFirst() {
      return sent.stream()
          .map(PeerEnvelope::message)
          .filter(PeerMessage.PlacementReply.class::isInstance)
          .map(PeerMessage.PlacementReply.class::cast)
          .skip(1)
          .toList();
    }

    /** Guards against placements that stop counting because a report names an earlier process. */
    @Test
    void countsItsGrantsAfterItsRestart() {
      long earlierGrant = 0;
      ProcessSequence earlier = new ProcessSequence(new Random(SEED_OF_OTHER_PROCESS));
      for (int i = 0; i < 10; i++) {
        earlierGrant = earlier.next();
      }
      fillEngine();
      assertNotEquals(0, ledger.tokens());
      coordinator.loadReported(ENTRY, new PeerMessage.LoadReport(earlierGrant, List.of()), nowMs);
      assertEquals(TOKENS, ledger.tokens());
    }
  }
}
