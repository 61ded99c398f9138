package dev.caroblb.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.TargetId;
import dev.caroblb.pacing.TargetLimits;
import dev.caroblb.routing.EngineLimits;
import dev.caroblb.targets.PlacementNeed;
import dev.caroblb.targets.RemoteLoad;
import dev.caroblb.targets.TargetInfo;
import dev.caroblb.targets.TargetPool;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A process of an entry was replaced, and the coordinator still has state of the earlier one. */
class RestartedEntryTest {
  private static final InstanceId ENTRY = new InstanceId("entry-1");
  private static final FailureDomain ZONE = new FailureDomain("zone-a");

  /** The other sequences use seed 1. */
  private static final long SEED_OF_OTHER_PROCESS = 2;

  private final long nowMs = 1_000;
  private static final long TOKENS = 30_000;

  private final List<PeerEnvelope<PeerMessage>> sent = new ArrayList<>();
  private final PlacementLedger ledger = new PlacementLedger(RemoteLoad.MAX_AGE_MS);
  private final TargetLimits limits = new TargetLimits();
  private final TargetPool pool = new TargetPool(new Random(1), List.of(ledger), limits);
  private final ProcessSequence tickets = new ProcessSequence(new Random(1));
  private final PlacementCoordinator coordinator =
      new PlacementCoordinator(
          sent::add, pool, ledger, limits, new ProcessSequence(new Random(1)), new Random(1));

  private long request(ProcessSequence numbers) {
    long ticket = numbers.next();
    PlacementNeed need =
        new PlacementNeed(
            PlacementNeed.Purpose.START, "service", TOKENS, 3_000, Set.of(), ZONE, false, 1, 1_800);
    coordinator.placementRequested(ENTRY, new PeerMessage.PlacementRequest(ticket, need), nowMs);
    return ticket;
  }

  private PeerMessage lastSent() {
    return sent.get(sent.size() - 1).message();
  }

  private void fillEngine() {
    pool.setEngineLimits(Map.of("service", new EngineLimits(24, 34_000, true, true, 4)));
    pool.available(new TargetInfo(new TargetId("t"), 1, "service", "10.0.0.1:80", ZONE));
    request(tickets);
    assertTrue(lastSent() instanceof PeerMessage.PlacementReply);
  }

  @Nested
  class Coordinator {
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
