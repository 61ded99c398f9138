package dev.caroblb.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.TargetId;
import dev.caroblb.core.TargetRun;
import dev.caroblb.pacing.TargetLimits;
import dev.caroblb.routing.EngineLimits;
import dev.caroblb.targets.PlacementNeed;
import dev.caroblb.targets.RemoteLoad;
import dev.caroblb.targets.TargetInfo;
import dev.caroblb.targets.TargetLoad;
import dev.caroblb.targets.TargetPool;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PlacementCoordinatorTest {
  private static final int ENGINES = 10;
  private static final FailureDomain ZONE = new FailureDomain("zone-a");
  private static final Map<String, EngineLimits> ENGINE_LIMITS =
      Map.of("service", new EngineLimits(24, 34_000, true, true, 4));

  private final List<PeerEnvelope<PeerMessage>> sent = new ArrayList<>();
  private final PlacementLedger ledger = new PlacementLedger(RemoteLoad.MAX_AGE_MS);
  private final TargetLimits limits = new TargetLimits();
  private final TargetPool pool = new TargetPool(new Random(1), List.of(ledger), limits);
  private final PlacementCoordinator coordinator =
      new PlacementCoordinator(
          sent::add, pool, ledger, limits, new ProcessSequence(new Random(1)), new Random(1));
  private long lastGrant;

  @BeforeEach
  void addEngines() {
    pool.setEngineLimits(ENGINE_LIMITS);
    for (int i = 0; i < ENGINES; i++) {
      pool.available(
          new TargetInfo(new TargetId("t" + i), 1, "service", "10.0.0." + i + ":80", ZONE));
    }
  }

  private static PlacementNeed need(long tokens, int priority, long objectiveMs, boolean backup) {
    return new PlacementNeed(
        PlacementNeed.Purpose.START,
        "service",
        tokens,
        3_000,
        Set.of(),
        ZONE,
        backup,
        priority,
        objectiveMs);
  }

  private static InstanceId entry(int instance) {
    return new InstanceId("entry-" + instance);
  }

  private PeerMessage request(int instance, PlacementNeed need, long nowMs) {
    coordinator.placementRequested(
        entry(instance), new PeerMessage.PlacementRequest(1, need), nowMs);
    PeerEnvelope<PeerMessage> reply = sent.get(sent.size() - 1);
    assertEquals(entry(instance), reply.peer());
    if (reply.message() instanceof PeerMessage.PlacementReply placed) {
      lastGrant = placed.grant();
    }
    return reply.message();
  }

  private PeerMessage.PlacementReply request(int instance, boolean backup) {
    return (PeerMessage.PlacementReply) request(instance, need(4_000, 1, 1_800, backup), 10);
  }

  private List<InstanceId> replied() {
    List<InstanceId> replied = new ArrayList<>();
    for (PeerEnvelope<PeerMessage> message : sent) {
      if (message.message() instanceof PeerMessage.PlacementReply) {
        replied.add(message.peer());
      }
    }
    return replied;
  }

  @Nested
  class Choices {
    /** Guards against many instances filling one engine while others are idle. */
    @Test
    void spreadSimultaneousRequests() {
      Set<TargetId> chosen = new HashSet<>();
      for (int i = 0; i < ENGINES; i++) {
        chosen.add(request(i, false).target().orElseThrow());
      }
      assertEquals(ENGINES, chosen.size());
    }

    /** Guards against pauses in streams that all move from a leaving engine to the same one. */
    @Test
    void spreadTheGenerationsOfALeavingEngine() {
      PlacementNeed need =
          new PlacementNeed(
              PlacementNeed.Purpose.MOVE,
              "service",
              4_000,
              3_000,
              Set.of(new TargetId("t0")),
              ZONE,
              false,
              1,
              1_800);
      Set<TargetId> chosen = new HashSet<>();
      for (int i = 1; i < ENGINES; i++) {
        PeerMessage.PlacementReply reply = (PeerMessage.PlacementReply) request(i, need, 10);
        chosen.add(reply.target().orElseThrow());
      }
      assertEquals(ENGINES - 1, chosen.size());
    }

    /** Guards against a backup on the engine that runs the generation. */
    @Test
    void placeBackupsOnAnotherEngine() {
      PeerMessage.PlacementReply reply = request(1, true);
      assertTrue(reply.backup().isPresent());
      assertNotEquals(reply.target(), reply.backup());
    }

    /** Guards against leaving a request without a reply when no engine is known. */
    @Test
    void areEmptyWithoutEngines() {
      for (int i = 0; i < ENGINES; i++) {
        pool.gone(new TargetId("t" + i), 1);
      }
      assertEquals(Optional.empty(), request(1, false).target());
    }
  }

  @Nested
  class LimitedEngines {
    private void limit(int engines, double perSecond) {
      for (int i = 0; i < engines; i++) {
        TargetRun run = new TargetRun(new TargetId("t" + i), 1);
        assertTrue(limits.heard(run, Optional.of(perSecond), 0, 1));
      }
    }

    private void report(long nowMs) {
      coordinator.loadReported(entry(99), new PeerMessage.LoadReport(0, List.of()), nowMs);
    }

    /** Guards against generations placed on an engine faster than it takes them. */
    @Test
    void takeGenerationsAtTheRateThatTheyName() {
      limit(ENGINES, 2);
      report(10);
      for (int i = 0; i < 2 * ENGINES; i++) {
        assertTrue(
            request(i, need(1_000, 1, 1_800, false), 10) instanceof PeerMessage.PlacementQueued);
      }
      for (long nowMs = 20; nowMs <= 620; nowMs += 50) {
        report(nowMs);
      }
      assertEquals(ENGINES, replied().size());
    }

    /** Guards against a burst at a limited engine when the engine of many generations fails. */
    @Test
    void holdNoBackups() {
      limit(ENGINES - 1, 2);
      assertEquals(Optional.empty(), request(1, true).backup());
    }

    /** Guards against a permit for a target whose limit this control instance does not know. */
    @Test
    void receiveNoPermitWhileTheirLimitIsUnknown() {
      PlacementNeed need =
          new PlacementNeed(
              PlacementNeed.Purpose.PERMIT, "service", 0, 0, Set.of(), ZONE, false, 1, 150);
      PeerMessage.PermitReply reply = (PeerMessage.PermitReply) request(1, need, 10);
      assertEquals(Optional.empty(), reply.target());
      assertEquals(Optional.empty(), reply.waitMs());
    }
  }

  @Nested
  class WithoutRoom {
    /** Half of an engine with 34,000 tokens. */
    private static final long HALF = 17_000;

    private void fillEngines() {
      for (int i = 0; i < 2 * ENGINES; i++) {
        request(100 + i, need(HALF, 1, 1_800, false), 1_000);
      }
      sent.clear();
    }

    private void endRequest(int instance, long nowMs) {
      coordinator.loadReported(
          entry(instance), new PeerMessage.LoadReport(lastGrant, List.of()), nowMs);
    }

    /** Guards against filling engines until they preempt requests. */
    @Test
    void requestsWaitUntilAnotherEnds() {
      fillEngines();
      assertEquals(
          new PeerMessage.PlacementQueued(1), request(1, need(HALF, 1, 1_800, false), 1_000));
      endRequest(100, 1_100);
      assertEquals(List.of(entry(1)), replied());
    }

    /** Guards against making every request late under overload. */
    @Test
    void requestsThatCanMeetTheirObjectiveGoFirst() {
      fillEngines();
      request(1, need(HALF, 1, 1_800, false), 1_000);
      request(2, need(HALF, 1, 1_800, false), 2_500);
      endRequest(100, 2_600);
      endRequest(101, 2_600);
      assertEquals(List.of(entry(2), entry(1)), replied());
    }

    /** Guards against placing requests of high priority after others. */
    @Test
    void requestsOfHighPriorityGoFirst() {
      fillEngines();
      request(1, need(HALF, 1, 1_800, false), 1_000);
      request(2, need(HALF, 0, 1_800, false), 1_010);
      endRequest(100, 1_100);
      assertEquals(List.of(entry(2)), replied());
    }

    /** Guards against starving large requests while small ones take all free memory. */
    @Test
    void engineIsReservedForALargeRequest() {
      fillEngines();
      request(1, need(2 * HALF, 1, 1_800, false), 1_000);
      request(2, need(HALF, 1, 1_800, false), 1_010);
      endRequest(100, 1_100);
      assertEquals(List.of(), replied());
      for (int i = 101; i < 100 + 2 * ENGINES; i++) {
        endRequest(i, 1_200);
      }
      assertEquals(Set.of(entry(1), entry(2)), Set.copyOf(replied()));
    }

    /** Guards against dropping a queued request whose instance still reports load. */
    @Test
    void requestsWaitAsLongAsTheirInstanceReports() {
      fillEngines();
      request(1, need(HALF, 1, 40_000, false), 1_000);
      request(2, need(HALF, 1, 40_000, false), 1_000);
      for (long nowMs = 1_000; nowMs < 20_000; nowMs += 1_000) {
        for (int i = 0; i < 2 * ENGINES; i++) {
          coordinator.loadReported(entry(100 + i), new PeerMessage.LoadReport(0, half(i)), nowMs);
        }
        coordinator.loadReported(entry(1), new PeerMessage.LoadReport(0, List.of()), nowMs);
      }
      endRequest(100, 20_000);
      endRequest(101, 20_000);
      assertEquals(List.of(entry(1)), replied());
    }

    /** Load of an instance that uses half of an engine. */
    private List<TargetLoad> half(int index) {
      return List.of(new TargetLoad(new TargetId("t" + index / 2), 1, 1, HALF, 0));
    }

    /** Guards against queueing a request that is too large for every engine. */
    @Test
    void requestsTooLargeForAnyEngineAreNotQueued() {
      assertTrue(
          request(1, need(40_000, 1, 1_800, false), 10) instanceof PeerMessage.PlacementReply);
    }
  }

  @Nested
  class RemoteLoadReports {
    private final InstanceId peer = new InstanceId("entry-1");

    private List<PeerMessage.RemoteLoadReport> reports() {
      List<PeerMessage.RemoteLoadReport> reports = new ArrayList<>();
      for (PeerEnvelope<PeerMessage> message : sent) {
        if (message.message() instanceof PeerMessage.RemoteLoadReport report) {
          reports.add(report);
        }
      }
      return reports;
    }

    /** Guards against report traffic that grows with the number of requests. */
    @Test
    void areSentOnceASecond() {
      for (long nowMs = 1_000; nowMs < 2_000; nowMs += 100) {
        coordinator.loadReported(peer, new PeerMessage.LoadReport(0, List.of()), nowMs);
      }
      assertEquals(1, reports().size());
      coordinator.loadReported(peer, new PeerMessage.LoadReport(0, List.of()), 2_000);
      assertEquals(2, reports().size());
    }

    /** Guards against dividing the retry budget only among the instances that report here. */
    @Test
    void countInstancesOfOtherCoordinators() {
      coordinator.setServingInstances(7);
      coordinator.loadReported(peer, new PeerMessage.LoadReport(0, List.of()), 1_000);
      assertEquals(7, reports().get(0).instances());
    }
  }
}
