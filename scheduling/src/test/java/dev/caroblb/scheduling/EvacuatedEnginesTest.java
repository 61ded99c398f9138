package dev.caroblb.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.TargetId;
import dev.caroblb.routing.CallerLimits;
import dev.caroblb.routing.EngineLimits;
import dev.caroblb.routing.RoutingTable;
import dev.caroblb.routing.Service;
import dev.caroblb.targets.PlacementNeed;
import dev.caroblb.targets.TargetInfo;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** The placement coordinator while failure domains are evacuated; one engine in each of two. */
class EvacuatedEnginesTest {
  private static final FailureDomain A = new FailureDomain("zone-a");
  private static final FailureDomain B = new FailureDomain("zone-b");
  private static final Optional<TargetId> IN_B = Optional.of(new TargetId("in-zone-b"));

  private final List<PeerMessage> sent = new ArrayList<>();
  private final SchedulingHandler handler =
      new SchedulingHandler(message -> sent.add(message.message()), message -> true, new Random(1));
  private long nextTicket = (1L << 32) + 1;

  private void handle(SchedulingMessage message) {
    handler.handle(message, 10);
  }

  @BeforeEach
  void addEngines() {
    Service service =
        new Service("service", 100, Optional.of(new EngineLimits(1, 34_000, true, true, 4)));
    handle(
        new SchedulingMessage.TableInstalled(
            new RoutingTable(
                3,
                List.of(),
                Map.of("service", service),
                CallerLimits.DEFAULTS,
                Optional.empty())));
    for (FailureDomain domain : List.of(A, B)) {
      handle(
          new SchedulingMessage.TargetAvailable(
              new TargetInfo(new TargetId("in-" + domain), 1, "service", "10.0.0.1:80", domain)));
    }
  }

  private void evacuate(FailureDomain... domains) {
    handle(new SchedulingMessage.EvacuationsChanged(Set.of(domains)));
  }

  private PeerMessage request(PlacementNeed.Purpose purpose) {
    PlacementNeed need =
        new PlacementNeed(purpose, "service", 4_000, 3_000, Set.of(), A, true, 1, 1_800);
    handle(
        new SchedulingMessage.FromPeer(
            new PeerEnvelope<>(
                new InstanceId("entry"), new PeerMessage.PlacementRequest(nextTicket++, need))));
    return sent.get(sent.size() - 1);
  }

  private PeerMessage.PlacementReply placed(PlacementNeed.Purpose purpose) {
    return assertInstanceOf(PeerMessage.PlacementReply.class, request(purpose));
  }

  @Nested
  class OneDomain {
    /** Guards against generations, moves and backups that go to an evacuated domain. */
    @Test
    void isNotUsed() {
      evacuate(A);
      PeerMessage.PlacementReply reply = placed(PlacementNeed.Purpose.START);
      assertEquals(IN_B, reply.target());
      assertEquals(Optional.empty(), reply.backup());
      assertEquals(IN_B, placed(PlacementNeed.Purpose.MOVE).target());
    }

    /** Guards against queued requests that wait until something else happens. */
    @Test
    void takesQueuedRequestsAtOnceAfterTheWithdrawal() {
      evacuate(A);
      assertEquals(IN_B, placed(PlacementNeed.Purpose.START).target());
      assertInstanceOf(PeerMessage.PlacementQueued.class, request(PlacementNeed.Purpose.START));
      evacuate();
      PeerMessage.PlacementReply reply =
          assertInstanceOf(PeerMessage.PlacementReply.class, sent.get(sent.size() - 1));
      assertNotEquals(IN_B, reply.target());
    }
  }

  @Nested
  class AllDomains {
    /** Guards against requests that are queued though no engine can take them. */
    @Test
    void leadToRepliesWithoutTarget() {
      evacuate(A, B);
      assertEquals(Optional.empty(), placed(PlacementNeed.Purpose.START).target());
    }

    /** Guards against requests that stay queued when the last domain is evacuated. */
    @Test
    void endTheWaitOfQueuedRequests() {
      placed(PlacementNeed.Purpose.START);
      placed(PlacementNeed.Purpose.START);
      assertInstanceOf(PeerMessage.PlacementQueued.class, request(PlacementNeed.Purpose.START));
      long ticket = nextTicket - 1;
      evacuate(A);
      assertInstanceOf(PeerMessage.PlacementQueued.class, sent.get(sent.size() - 1));
      evacuate(A, B);
      PeerMessage.PlacementReply reply =
          assertInstanceOf(PeerMessage.PlacementReply.class, sent.get(sent.size() - 1));
      assertEquals(ticket, reply.ticket());
      assertEquals(Optional.empty(), reply.target());
    }
  }
}
