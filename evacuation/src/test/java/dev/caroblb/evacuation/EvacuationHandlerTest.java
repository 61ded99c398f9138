package dev.caroblb.evacuation;

import static dev.caroblb.evacuation.EvacuationGroup.A;
import static dev.caroblb.evacuation.EvacuationGroup.B;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.PeerEnvelope;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Orders to evacuate failure domains, with loss of instances and messages. */
class EvacuationHandlerTest {
  private static final EvacuationCommand BEGIN_A = new EvacuationCommand.Begin(A);
  private static final EvacuationCommand BEGIN_B = new EvacuationCommand.Begin(B);

  private final EvacuationGroup group = new EvacuationGroup();

  private static OrderOutcome accepted(long revision, Set<FailureDomain> domains) {
    return new OrderOutcome.Accepted(new EvacuationState(revision, domains));
  }

  private void orderAndCommit(EvacuationCommand command) {
    group.order("control-0", command);
    group.commit();
  }

  @Nested
  class Orders {
    /** Guards against an order that is acknowledged before it is committed and in force. */
    @Test
    void areAcknowledgedOnceApplied() {
      group.order("control-0", BEGIN_A);
      group.advance(500);
      assertEquals(List.of(), group.replies);
      group.commit();
      assertEquals(List.of(accepted(1, Set.of(A))), group.replies);
      assertEquals(Set.of(A), group.node("control-0").inForce);
      group.advance(200);
      assertTrue(group.allHave(A));
      orderAndCommit(new EvacuationCommand.End(A));
      group.advance(200);
      assertEquals(accepted(2, Set.of()), group.lastReply());
      assertTrue(group.allHave());
    }

    /** Guards against a repeated order that is refused, or that counts as a change. */
    @Test
    void repeatedAreAcknowledgedAfterCommitWithTheSameRevision() {
      orderAndCommit(BEGIN_A);
      group.order("control-0", BEGIN_A);
      assertEquals(1, group.replies.size());
      group.commit();
      assertEquals(accepted(1, Set.of(A)), group.lastReply());
      orderAndCommit(new EvacuationCommand.End(B));
      assertEquals(accepted(1, Set.of(A)), group.lastReply());
    }

    /** Guards against orders that a follower keeps, or an operator that waits without leader. */
    @Test
    void atOtherInstancesNameTheLeader() {
      group.order("control-1", BEGIN_A);
      assertEquals(new OrderOutcome.AskLeader(new InstanceId("control-0")), group.lastReply());
      group.order("entry-0", BEGIN_A);
      assertInstanceOf(OrderOutcome.Unanswered.class, group.lastReply());
    }

    /** Guards against an operator that waits longer than it stays at one instance. */
    @Test
    void withoutMajorityAreAnsweredInTime() {
      group.order("control-0", BEGIN_A);
      group.advance(EvacuationHandler.PROPOSAL_TIMEOUT_MS);
      assertInstanceOf(OrderOutcome.Unanswered.class, group.lastReply());
      group.commit();
      assertEquals(1, group.replies.size());
      assertEquals(Set.of(A), group.node("control-0").inForce);
    }
  }

  @Nested
  class LossOfTheLeader {
    /** Guards against a second change when the acknowledgement of the first was lost. */
    @Test
    void afterCommitKeepsTheOrder() {
      group.order("control-0", BEGIN_A);
      group.kill("control-0");
      group.commit();
      group.lead("control-1");
      group.advance(200);
      assertTrue(group.allHave(A));
      group.order("control-1", BEGIN_A);
      group.commit();
      assertEquals(List.of(accepted(1, Set.of(A))), group.replies);
    }

    /** Guards against an order that neither is in force nor can be sent again. */
    @Test
    void beforeCommitLetsTheOperatorSendTheOrderAgain() {
      group.order("control-0", BEGIN_A);
      group.kill("control-0");
      group.loseProposals();
      group.lead("control-1");
      group.advance(1_000);
      assertTrue(group.allHave());
      group.order("control-1", BEGIN_A);
      group.commit();
      assertEquals(List.of(accepted(1, Set.of(A))), group.replies);
    }
  }

  @Nested
  class Distribution {
    /** Guards against an instance that never learns of an order because a message was lost. */
    @Test
    void repeatsALostAnnouncement() {
      group.cutOff.add("entry-1");
      orderAndCommit(BEGIN_A);
      group.advance(3_000);
      assertEquals(Set.of(), group.node("entry-1").inForce);
      group.cutOff.clear();
      group.advance(StateDistribution.REPORT_INTERVAL_MS + 300);
      assertEquals(Set.of(A), group.node("entry-1").inForce);
    }

    /** Guards against entries that depend on their contact to the control instances. */
    @Test
    void reachesAnEntryThroughAnother() {
      group.cutOff.add("entry-1");
      orderAndCommit(BEGIN_A);
      group.advance(500);
      group.cutOff.clear();
      group.cutOff.addAll(EvacuationGroup.CONTROLS);
      group.advance(2_500);
      assertEquals(Set.of(A), group.node("entry-1").inForce);
    }

    /** Guards against an entry that sends to evacuated targets once it is cut off. */
    @Test
    void entryWithoutContactKeepsWhatItKnows() {
      orderAndCommit(BEGIN_A);
      group.advance(200);
      group.cutOff.add("entry-0");
      orderAndCommit(new EvacuationCommand.End(A));
      group.advance(10_000);
      assertEquals(Set.of(A), group.node("entry-0").inForce);
      assertEquals(Set.of(), group.node("entry-1").inForce);
    }

    /** Guards against an old announcement that arrives late and withdraws an order. */
    @Test
    void smallerRevisionIsIgnored() {
      orderAndCommit(BEGIN_A);
      orderAndCommit(BEGIN_B);
      group.advance(200);
      PeerMessage late = new PeerMessage.Announcement(new EvacuationState(1, Set.of(A)));
      EvacuationGroup.Node entry = group.node("entry-0");
      entry.handle(
          new EvacuationMessage.FromPeer(new PeerEnvelope<>(new InstanceId("control-1"), late)));
      assertEquals(Set.of(A, B), entry.inForce);
      assertEquals(List.of(1L, 2L), entry.revisions);
    }

    /** Guards against a state that is lost because the queue of another duty was full. */
    @Test
    void stateIsOfferedAgainToAFullQueue() {
      EvacuationGroup.Node entry = group.node("entry-0");
      entry.statesRejected = true;
      orderAndCommit(BEGIN_A);
      group.advance(500);
      assertEquals(Set.of(), entry.inForce);
      entry.statesRejected = false;
      group.advance(200);
      assertEquals(Set.of(A), entry.inForce);
    }
  }

  @Nested
  class Restart {
    /** Guards against orders that are lost when all instances are lost at once. */
    @Test
    void ofEverythingRestoresTheStateBeforeThereIsALeader() {
      orderAndCommit(BEGIN_A);
      orderAndCommit(BEGIN_B);
      group.restartAllFromSnapshots();
      group.advance(1_200);
      assertTrue(group.allHave(A, B));
      group.lead("control-2");
      group.order("control-2", BEGIN_B);
      group.commit();
      assertEquals(accepted(2, Set.of(A, B)), group.lastReply());
    }

    /** Guards against a replica that puts every state of its journal into force one by one. */
    @Test
    void installsOnlyTheNewestStateOfTheJournal() {
      orderAndCommit(BEGIN_A);
      orderAndCommit(BEGIN_B);
      orderAndCommit(new EvacuationCommand.End(A));
      group.restartFromJournal("control-1");
      assertEquals(List.of(3L), group.node("control-1").revisions);
      assertFalse(group.node("control-1").inForce.contains(A));
    }
  }
}
