package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.TargetId;
import dev.caroblb.scheduling.PeerMessage;
import dev.caroblb.targets.TargetInfo;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Requests at an entry while failure domains are evacuated; target {@code tN} is in domain N. */
class EvacuationTest extends ForwardingFixture {
  private static final InstanceId CONTROL = new InstanceId("control-1");
  private static final String NO_TARGET = "refused " + RefusalReason.NO_TARGET;

  private static FailureDomain domain(int index) {
    return new FailureDomain("zone-" + index);
  }

  private static TargetId target(int index) {
    return new TargetId("t" + index);
  }

  @Override
  void available(int index) {
    handle(
        new ForwardingMessage.TargetAvailable(
            new TargetInfo(target(index), 1, "service", "10.0.0." + index + ":80", domain(index))));
  }

  private void evacuate(Integer... domains) {
    handle(
        new ForwardingMessage.EvacuationsChanged(
            Set.copyOf(List.of(domains).stream().map(EvacuationTest::domain).toList())));
  }

  private void evacuateDomainOf(String address) {
    evacuate(indexOf(address));
  }

  private static int indexOf(String address) {
    return Integer.parseInt(address.substring("10.0.0.".length(), address.indexOf(':')));
  }

  private void advance(long ms) {
    for (long untilMs = nowMs + ms; nowMs < untilMs; ) {
      nowMs += 10;
      handler.tick(nowMs);
    }
  }

  private void useCoordinator() {
    handle(new ForwardingMessage.ControlInstancesChanged(List.of(CONTROL)));
  }

  private void receive(PeerMessage message) {
    handle(new ForwardingMessage.FromScheduler(new PeerEnvelope<>(CONTROL, message)));
  }

  private MoveOrder lastMove() {
    return targets.moves.get(targets.moves.size() - 1);
  }

  @Nested
  class NewRequests {
    /** Guards against a plain request or a retry that is sent to an evacuated domain. */
    @Test
    void goToOtherDomains() {
      install(3);
      evacuate(0, 1);
      arrive("/safe/x");
      assertEquals(target(2), targets.last().target().id());
      evacuate(0);
      loseTarget();
      assertEquals(target(1), targets.last().target().id());
      loseTarget();
      assertEquals(2, targets.sent.size());
    }

    /** Guards against requests that wait though no target can take them, or that may have run. */
    @Test
    void areRefusedAtOnceAsNotRunIfAllTargetsAreEvacuated() {
      install(2);
      evacuate(0, 1);
      arrive("/once/x");
      assertEquals(List.of(NO_TARGET), caller.events);
      useCoordinator();
      arriveGeneration("/long/x", 400);
      assertEquals(List.of(NO_TARGET, NO_TARGET), caller.events);
      assertEquals(List.of(), targets.sent);
      assertEquals(0, handler.running());
      evacuate(0);
      arriveGeneration("/long/x", 400);
      assertEquals(1, tickets(toPeers).size());
    }

    /** Guards against a coordinator that does not know the order yet. */
    @Test
    void doNotFollowTheCoordinatorIntoAnEvacuatedDomain() {
      install(2);
      useCoordinator();
      arriveGeneration("/long/x", 400);
      evacuate(0);
      receive(
          new PeerMessage.PlacementReply(
              firstTicket(), 1, Optional.of(target(0)), Optional.of(target(0))));
      assertEquals(target(1), targets.last().target().id());
      assertEquals(Optional.empty(), targets.last().backup());
    }
  }

  @Nested
  class WaitingRequests {
    /** Guards against a queued request that waits for a coordinator which is cut off. */
    @Test
    void thatAreQueuedAreRefusedWhenTheLastDomainIsEvacuated() {
      install(2);
      useCoordinator();
      arriveGeneration("/long/x", 400);
      receive(new PeerMessage.PlacementQueued(firstTicket()));
      evacuate(0);
      assertEquals(List.of(), caller.events);
      evacuate(0, 1);
      assertEquals(List.of(NO_TARGET), caller.events);
      assertTrue(
          toPeers.stream()
              .anyMatch(
                  m -> m.message().equals(new PeerMessage.PlacementCancelled(firstTicket()))));
    }

    /** Guards against a request that waits for a target which was evacuated meanwhile. */
    @Test
    void forARejectingTargetAreRefusedWhenItIsEvacuated() {
      install(1);
      arrive("/safe/x");
      rejectFor(50);
      arrive("/safe/x");
      caller.events.clear();
      evacuate(0);
      assertEquals(0, handler.running());
      assertEquals(Set.of(NO_TARGET), Set.copyOf(caller.events));
    }
  }

  @Nested
  class RunningGenerations {
    private String source;

    @BeforeEach
    void start() {
      install(3);
      arriveGeneration("/long/x", 900);
      startStream();
      source = targets.last().target().address();
    }

    /** Guards against generations that are cut off or moved by the order. */
    @Test
    void finishWhereTheyAre() {
      evacuate(0, 1, 2);
      advance(1_000);
      assertEquals(List.of(), targets.cancelled);
      assertEquals(List.of(), targets.moves);
      assertFalse(caller.events.contains("abort"));
    }

    /** Guards against a continuation at an evacuated backup, and against losing the generation. */
    @Test
    void continueElsewhereIfTheBackupIsEvacuated() {
      String backup = targets.last().backup().orElseThrow().address();
      evacuateDomainOf(backup);
      loseTarget();
      assertEquals(source, lastMove().source());
      assertTrue(lastMove().finalCopy());
      assertFalse(lastMove().destination().equals(backup));
      stopEnded(new MoveOutcome.Copied("h"));
      assertEquals(lastMove().destination(), targets.last().target().address());
    }

    /** Guards against silence if the memory is lost with the engine. */
    @Test
    void endClearlyIfOnlyTheEvacuatedBackupHasTheMemory() {
      evacuateDomainOf(targets.last().backup().orElseThrow().address());
      crashEngine();
      assertEquals("abort", lastEvent());
      assertEquals(1, targets.sent.size());
    }

    /** Guards against a continuation at a destination that was evacuated during the copy. */
    @Test
    void endClearlyIfTheDestinationIsEvacuatedDuringTheFinalCopy() {
      loseTarget();
      evacuateDomainOf(lastMove().destination());
      stopEnded(new MoveOutcome.Copied("h"));
      assertEquals("abort", lastEvent());
      assertEquals(1, targets.sent.size());
    }

    /** Guards against a generation that is sent again to its evacuated engine. */
    @Test
    void endClearlyIfOnlyTheEvacuatedSourceHasTheMemory() {
      loseTarget();
      evacuateDomainOf(source);
      stopEnded(new MoveOutcome.NoRoom(Optional.of("h")));
      assertEquals("abort", lastEvent());
      assertEquals(1, targets.sent.size());
    }
  }

  @Nested
  class Moves {
    private String firstDestination;

    @BeforeEach
    void startMove() {
      install(3);
      arrive("/long/x");
      startStream();
      handle(new ForwardingMessage.TargetLeaving(targets.last().target().id(), 1));
      firstDestination = lastMove().destination();
    }

    private void copied() {
      handle(new ForwardingMessage.CopyEnded(7, attempt(), false, new MoveOutcome.Copied("h")));
    }

    /** Guards against the result of the first copy that is taken for one of the second. */
    @Test
    void areRedirectedOnceTheFirstCopyIsComplete() {
      evacuateDomainOf(firstDestination);
      advance(200);
      assertEquals(1, targets.moves.size());
      copied();
      // Less than the silence after which a leaving engine is told to stop the generation.
      advance(150);
      assertEquals(2, targets.moves.size());
      assertFalse(lastMove().destination().equals(firstDestination));
      copied();
      loseTarget();
      stopEnded(new MoveOutcome.SourceEnded("refused"));
      assertEquals(lastMove().destination(), targets.last().target().address());
    }

    /** Guards against a continuation at the evacuated destination right after the copy. */
    @Test
    void thatEndBeforeTheSecondCopyDoNotContinueAtTheFirst() {
      copied();
      evacuateDomainOf(firstDestination);
      loseTarget();
      assertFalse(lastMove().destination().equals(firstDestination));
      stopEnded(new MoveOutcome.SourceEnded("refused"));
      assertEquals("abort", lastEvent());
    }
  }
}
