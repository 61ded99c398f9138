package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.TargetId;
import dev.caroblb.scheduling.PeerMessage;
import dev.caroblb.scheduling.ProcessSequence;
import dev.caroblb.targets.PlacementNeed;
import dev.caroblb.targets.TargetInfo;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A process of an entry was replaced, and control instances still reply to the earlier one. */
class RestartedInstanceTest extends ForwardingFixture {
  private static final InstanceId CONTROL = new InstanceId("control-1");

  /** The fixture and the other sequences use seed 1. */
  private static final long SEED_OF_OTHER_PROCESS = 2;

  @Nested
  class Entry {
    private void arriveAtControlledEntry() {
      install(3);
      handle(new ForwardingMessage.ControlInstancesChanged(List.of(CONTROL)));
      arriveGeneration("/long/x", 400);
    }

    private void reply(long ticket, String target) {
      PeerMessage reply =
          new PeerMessage.PlacementReply(
              ticket, 1, Optional.of(new TargetId(target)), Optional.empty());
      handle(new ForwardingMessage.FromScheduler(new PeerEnvelope<>(CONTROL, reply)));
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
}
