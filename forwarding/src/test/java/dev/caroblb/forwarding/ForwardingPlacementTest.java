package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.Addressed;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.TargetId;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Generations whose targets a control instance chooses. */
class ForwardingPlacementTest extends ForwardingFixture {
  private static final InstanceId CONTROL = new InstanceId("control-1");

  private void askedOfControl() {
    installed(3);
    give(new ForwardingMessage.ContactsChanged(List.of(CONTROL), 9));
    arriveGeneration("/long/x", 400);
  }

  private void from(PeerMessage message) {
    give(new ForwardingMessage.FromPeer(new Addressed<>(CONTROL, message)));
  }

  private void given(Optional<TargetId> target) {
    from(new PeerMessage.PlacementReply(1, 1, target, Optional.empty()));
  }

  private List<PeerMessage> told() {
    return toPeers.stream().map(Addressed::message).toList();
  }

  private Addressed<PeerMessage> lastQuestion() {
    return toPeers.stream()
        .filter(message -> message.message() instanceof PeerMessage.PlacementRequest)
        .reduce((earlier, later) -> later)
        .orElseThrow();
  }

  private void pass(long ms) {
    nowMs += ms;
    handler.tick(nowMs);
  }

  @Nested
  class Answered {
    /** Guards against an instance that chooses for itself although it was given a target. */
    @Test
    void goesToTheTargetThatWasChosen() {
      askedOfControl();
      assertEquals(List.of(), targets.sent);
      given(Optional.of(new TargetId("t2")));
      assertEquals(new TargetId("t2"), targets.last().target().id());
    }

    /** Guards against a request that is lost because its target left meanwhile. */
    @Test
    void goesElsewhereWhenTheTargetIsLeaving() {
      askedOfControl();
      give(new ForwardingMessage.TargetLeaving(new TargetId("t2"), 1));
      given(Optional.of(new TargetId("t2")));
      assertEquals(1, targets.sent.size());
      assertTrue(!targets.last().target().id().equals(new TargetId("t2")));
    }

    /** Guards against a second sending by an answer that comes after the request was placed. */
    @Test
    void isNotSentAgainByALateAnswer() {
      askedOfControl();
      pass(100);
      assertEquals(1, targets.sent.size());
      given(Optional.of(new TargetId("t2")));
      assertEquals(1, targets.sent.size());
    }
  }

  @Nested
  class Waiting {
    /** Guards against a request that is placed without room because it waits. */
    @Test
    void waitsBeyondTheTimeForAnAnswer() {
      askedOfControl();
      from(new PeerMessage.PlacementQueued(1));
      pass(100);
      assertEquals(List.of(), targets.sent);
    }

    /** Guards against a caller that waits until its time is over, and a refusal that is untrue. */
    @Test
    void isRefusedInTimeAndWithdrawn() {
      askedOfControl();
      from(new PeerMessage.PlacementQueued(1));
      pass(2_400);
      assertEquals("refused BACKLOG_FULL", lastEvent());
      assertTrue(told().contains(new PeerMessage.PlacementCancelled(1)));
      given(Optional.of(new TargetId("t2")));
      pass(1_000);
      assertEquals(List.of(), targets.sent);
      assertEquals(1, caller.events.size());
    }

    /** Guards against requests that wait at a control instance which is gone. */
    @Test
    void asksTheNextOneWhenTheControlInstanceChanges() {
      askedOfControl();
      from(new PeerMessage.PlacementQueued(1));
      InstanceId other = new InstanceId("control-2");
      give(new ForwardingMessage.ContactsChanged(List.of(other), 9));
      pass(600);
      Addressed<PeerMessage> asked = lastQuestion();
      assertEquals(other, asked.peer());
    }

    /** Guards against a question that is given up by a timer of an earlier wait. */
    @Test
    void givesTheNextControlInstanceItsTime() {
      askedOfControl();
      pass(30);
      from(new PeerMessage.PlacementQueued(1));
      // Two timers follow each other 30 ms apart from here on.
      pass(30);
      give(new ForwardingMessage.ContactsChanged(List.of(new InstanceId("control-2")), 9));
      pass(470);
      pass(30);
      assertEquals(List.of(), targets.sent);
    }

    /** Guards against an engine that is kept free for a caller that left. */
    @Test
    void isWithdrawnWhenTheCallerLeaves() {
      askedOfControl();
      from(new PeerMessage.PlacementQueued(1));
      give(new ForwardingMessage.CallerGone(7));
      assertTrue(told().contains(new PeerMessage.PlacementCancelled(1)));
    }
  }

  @Nested
  class TargetThatFails {
    /** Guards against a control instance that sends every request to a target that fails them. */
    @Test
    void isNotAskedFor() {
      askedOfControl();
      given(Optional.of(new TargetId("t2")));
      lost();
      arriveGeneration("/long/x", 400);
      PeerMessage.PlacementRequest asked = (PeerMessage.PlacementRequest) lastQuestion().message();
      assertEquals(Set.of(new TargetId("t2")), asked.need().excluded());
    }
  }

  @Nested
  class Moving {
    /** Guards against many instances that move their generations to the same engine. */
    @Test
    void asksForTheDestination() {
      askedOfControl();
      given(Optional.of(new TargetId("t0")));
      streamBegins();
      give(new ForwardingMessage.TargetLeaving(new TargetId("t0"), 1));
      PeerMessage.PlacementRequest asked =
          (PeerMessage.PlacementRequest) told().get(told().size() - 1);
      assertEquals(PlacementNeed.Purpose.MOVE, asked.need().purpose());
      from(
          new PeerMessage.PlacementReply(
              asked.ticket(), 2, Optional.of(new TargetId("t1")), Optional.empty()));
      assertEquals("10.0.0.1:80", targets.moves.get(0).destination());
    }

    /** Guards against a generation that ends with its engine because nobody answered. */
    @Test
    void choosesItselfWithoutAnAnswer() {
      askedOfControl();
      given(Optional.of(new TargetId("t0")));
      streamBegins();
      give(new ForwardingMessage.TargetLeaving(new TargetId("t0"), 1));
      pass(100);
      assertEquals(1, targets.moves.size());
    }
  }
}
