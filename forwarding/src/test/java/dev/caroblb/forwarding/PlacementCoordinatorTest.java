package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.Addressed;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.TargetId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PlacementCoordinatorTest {
  private static final int ENGINES = 10;

  private final List<Addressed<PeerMessage>> sent = new ArrayList<>();
  private final PlacementLedger ledger = new PlacementLedger(PlacementCoordinator.STALE_MS);
  private final TargetPool pool = new TargetPool(new Random(1), List.of(ledger));
  private final PlacementCoordinator coordinator =
      new PlacementCoordinator(sent::add, pool, ledger);

  @BeforeEach
  void addEngines() {
    pool.engineLimits(ForwardingFixture.table().engines());
    for (int i = 0; i < ENGINES; i++) {
      pool.available(
          new TargetInfo(
              new TargetId("t" + i), 1, "service", "10.0.0." + i + ":80", ForwardingFixture.ZONE));
    }
  }

  private static PlacementNeed need(long tokens, int rank, long objectiveMs, boolean backup) {
    return new PlacementNeed(
        PlacementNeed.Purpose.START,
        "service",
        tokens,
        3_000,
        Set.of(),
        ForwardingFixture.ZONE,
        backup,
        rank,
        objectiveMs);
  }

  private static InstanceId entry(int instance) {
    return new InstanceId("entry-" + instance);
  }

  private PeerMessage ask(int instance, PlacementNeed need, long nowMs) {
    coordinator.placementRequested(
        entry(instance), new PeerMessage.PlacementRequest(1, need), nowMs);
    Addressed<PeerMessage> answer = sent.get(sent.size() - 1);
    assertEquals(entry(instance), answer.peer());
    return answer.message();
  }

  private PeerMessage.PlacementReply ask(int instance, boolean backup) {
    return (PeerMessage.PlacementReply) ask(instance, need(4_000, 1, 1_800, backup), 10);
  }

  private List<InstanceId> given() {
    List<InstanceId> given = new ArrayList<>();
    for (Addressed<PeerMessage> message : sent) {
      if (message.message() instanceof PeerMessage.PlacementReply) {
        given.add(message.peer());
      }
    }
    return given;
  }

  @Nested
  class Choices {
    /** Guards against many instances that fill one engine while others are idle. */
    @Test
    void spreadSimultaneousRequestsOfManyInstances() {
      Set<TargetId> chosen = new HashSet<>();
      for (int i = 0; i < ENGINES; i++) {
        chosen.add(ask(i, false).target().orElseThrow());
      }
      assertEquals(ENGINES, chosen.size());
    }

    /** Guards against a backup at the engine whose loss it is for. */
    @Test
    void keepBackupsAtAnotherEngine() {
      PeerMessage.PlacementReply given = ask(1, true);
      assertTrue(given.backup().isPresent());
      assertNotEquals(given.target(), given.backup());
    }

    /** Guards against requests that wait for an answer while no engine is known. */
    @Test
    void saySoWhenThereIsNone() {
      for (int i = 0; i < ENGINES; i++) {
        pool.gone(new TargetId("t" + i), 1);
      }
      assertEquals(Optional.empty(), ask(1, false).target());
    }
  }

  @Nested
  class WithoutRoom {
    /** Half of an engine with 34,000 tokens. */
    private static final long HALF = 17_000;

    private void fill() {
      for (int i = 0; i < 2 * ENGINES; i++) {
        ask(100 + i, need(HALF, 1, 1_800, false), 1_000);
      }
      sent.clear();
    }

    private void end(int instance, long nowMs) {
      coordinator.loadReported(
          entry(instance), new PeerMessage.LoadReport(1_000, List.of()), nowMs);
    }

    /** Guards against engines whose memory is filled until they preempt. */
    @Test
    void requestsWaitUntilOneEnds() {
      fill();
      assertEquals(new PeerMessage.PlacementQueued(1), ask(1, need(HALF, 1, 1_800, false), 1_000));
      end(100, 1_100);
      assertEquals(List.of(entry(1)), given());
    }

    /** Guards against overload that makes every request late. */
    @Test
    void requestsThatCanBeInTimeGoFirst() {
      fill();
      ask(1, need(HALF, 1, 1_800, false), 1_000);
      ask(2, need(HALF, 1, 1_800, false), 2_500);
      end(100, 2_600);
      end(101, 2_600);
      assertEquals(List.of(entry(2), entry(1)), given());
    }

    /** Guards against urgent requests behind others. */
    @Test
    void urgentRequestsGoFirst() {
      fill();
      ask(1, need(HALF, 1, 1_800, false), 1_000);
      ask(2, need(HALF, 0, 1_800, false), 1_010);
      end(100, 1_100);
      assertEquals(List.of(entry(2)), given());
    }

    /** Guards against large requests that wait while small ones take all that becomes free. */
    @Test
    void anEngineIsHeldForALargeRequest() {
      fill();
      ask(1, need(2 * HALF, 1, 1_800, false), 1_000);
      ask(2, need(HALF, 1, 1_800, false), 1_010);
      end(100, 1_100);
      assertEquals(List.of(), given());
      for (int i = 101; i < 100 + 2 * ENGINES; i++) {
        end(i, 1_200);
      }
      assertEquals(Set.of(entry(1), entry(2)), Set.copyOf(given()));
    }

    /** Guards against a request that is forgotten although its instance is there and waits. */
    @Test
    void requestsWaitAsLongAsTheirInstanceIsThere() {
      fill();
      ask(1, need(HALF, 1, 40_000, false), 1_000);
      ask(2, need(HALF, 1, 40_000, false), 1_000);
      for (long nowMs = 1_000; nowMs < 20_000; nowMs += 1_000) {
        for (int i = 0; i < 2 * ENGINES; i++) {
          coordinator.loadReported(entry(100 + i), new PeerMessage.LoadReport(0, half(i)), nowMs);
        }
        coordinator.loadReported(entry(1), new PeerMessage.LoadReport(0, List.of()), nowMs);
      }
      end(100, 20_000);
      end(101, 20_000);
      assertEquals(List.of(entry(1)), given());
    }

    /** What an instance states that has half of an engine. */
    private List<TargetLoad> half(int index) {
      return List.of(new TargetLoad(new TargetId("t" + index / 2), 1, 1, HALF, 0));
    }

    /** Guards against a request that waits for an engine larger than there is. */
    @Test
    void requestsThatFitNowhereDoNotWait() {
      assertTrue(ask(1, need(40_000, 1, 1_800, false), 10) instanceof PeerMessage.PlacementReply);
    }
  }

  @Nested
  class OthersWork {
    private final InstanceId peer = new InstanceId("entry-1");

    private List<PeerMessage.RemoteLoadReport> stated() {
      List<PeerMessage.RemoteLoadReport> stated = new ArrayList<>();
      for (Addressed<PeerMessage> message : sent) {
        if (message.message() instanceof PeerMessage.RemoteLoadReport others) {
          stated.add(others);
        }
      }
      return stated;
    }

    /** Guards against traffic that grows with the number of requests. */
    @Test
    void isStatedOnceASecond() {
      for (long nowMs = 1_000; nowMs < 2_000; nowMs += 100) {
        coordinator.loadReported(peer, new PeerMessage.LoadReport(0, List.of()), nowMs);
      }
      assertEquals(1, stated().size());
      coordinator.loadReported(peer, new PeerMessage.LoadReport(0, List.of()), 2_000);
      assertEquals(2, stated().size());
    }

    /** Guards against a budget that is shared by too few when others ask elsewhere. */
    @Test
    void countsInstancesThatAskElsewhere() {
      coordinator.setServingInstances(7);
      coordinator.loadReported(peer, new PeerMessage.LoadReport(0, List.of()), 1_000);
      assertEquals(7, stated().get(0).instances());
    }
  }
}
