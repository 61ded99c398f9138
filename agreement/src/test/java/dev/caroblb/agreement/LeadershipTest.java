package dev.caroblb.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.GroupId;
import dev.caroblb.core.Payload;
import dev.caroblb.core.ProposalOutcome;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LeadershipTest {
  private static final GroupId GROUP = SimulatedCluster.GROUP;
  private static final long LIMIT_MS = 15_000;

  private final SimulatedCluster cluster = new SimulatedCluster(3, 21);
  private int leader;

  @BeforeEach
  void settle() {
    assertTrue(cluster.runUntil(LIMIT_MS, () -> cluster.settled(GROUP)), "cluster did not settle");
    cluster.run(300);
    leader = cluster.replicas().indexOf(cluster.leader(GROUP).orElseThrow());
  }

  /** Returns the replica at a distance from the first leader, which itself has distance 0. */
  private SimulatedReplica replica(int distance) {
    return cluster.replica((leader + distance) % 3);
  }

  private boolean leads(SimulatedReplica replica) {
    return replica.status(GROUP).orElseThrow().role() == Role.LEADER;
  }

  private ProposalOutcome propose(SimulatedReplica replica, Payload command, long waitMs) {
    List<ProposalOutcome> outcomes = new ArrayList<>();
    cluster.handle(replica, new AgreementMessage.Propose(GROUP, command, outcomes::add));
    cluster.run(waitMs);
    assertEquals(1, outcomes.size(), "every proposal must have exactly one outcome");
    return outcomes.get(0);
  }

  @Nested
  class WhenTheLeaderIsDisconnected {
    /** Guards against a disconnected leader that still acts while another one is elected. */
    @Test
    void itsLeaseEndsBeforeTheNextBegins() {
      cluster.setDisconnected(leader, true);
      cluster.run(1_050);
      assertEquals(Optional.empty(), cluster.leader(GROUP));
      assertTrue(cluster.runUntil(LIMIT_MS, () -> cluster.leader(GROUP).isPresent()));
      assertFalse(leads(replica(0)));
    }

    /** Guards against a proposal that gets no outcome or is reported as not appended. */
    @Test
    void itsProposalsEndAsUnknown() {
      cluster.setDisconnected(leader, true);
      assertEquals(new ProposalOutcome.Unknown(), propose(replica(0), Payload.ofText("a"), 3_000));
    }

    /** Guards against an uncommitted command of a deposed leader that stays in its log. */
    @Test
    void itsUncommittedEntriesAreReplaced() {
      cluster.setDisconnected(leader, true);
      cluster.proposeTo(replica(0), GROUP, "old");
      cluster.run(2_000);
      assertFalse(leads(replica(0)));
      assertTrue(cluster.runUntil(LIMIT_MS, () -> cluster.leader(GROUP).isPresent()));
      cluster.propose(GROUP, "new");
      cluster.run(500);
      cluster.setDisconnected(leader, false);
      assertTrue(cluster.runUntil(LIMIT_MS, () -> cluster.settled(GROUP)));
      assertEquals(1, replica(0).machine(GROUP).applied().size());
    }
  }

  @Nested
  class WhenAFollowerIsDisconnected {
    /** Guards against a returning replica that deposes a working leader. */
    @Test
    void itReturnsWithoutAnElection() {
      long term = replica(0).status(GROUP).orElseThrow().term();
      cluster.setDisconnected((leader + 1) % 3, true);
      cluster.run(10_000);
      cluster.setDisconnected((leader + 1) % 3, false);
      cluster.run(3_000);
      assertTrue(leads(replica(0)));
      assertEquals(term, replica(0).status(GROUP).orElseThrow().term());
    }

    /** Guards against a follower that cannot catch up after the entries it lacks were removed. */
    @Test
    void itCatchesUpBySnapshot() {
      cluster.crash((leader + 1) % 3);
      String filler = "x".repeat(2_000);
      for (int i = 0; i < 1_500; i++) {
        cluster.proposeTo(replica(0), GROUP, i + filler);
        cluster.run(1);
      }
      cluster.run(500);
      assertEquals(1_500, cluster.acknowledged().size());
      assertTrue(replica(0).status(GROUP).orElseThrow().snapshotIndex() >= 1_000);
      cluster.start((leader + 1) % 3);
      assertTrue(cluster.runUntil(LIMIT_MS, () -> cluster.settled(GROUP)));
      assertEquals(1_500, replica(1).machine(GROUP).applied().size());
    }
  }

  @Nested
  class WhenOnlyTheLinkToTheLeaderFails {
    /** Guards against a replica that is elected by others that still hear from the leader. */
    @Test
    void theLeaderKeepsItsLease() {
      cluster.setLinkDown(leader, (leader + 1) % 3, true);
      cluster.run(10_000);
      assertTrue(leads(replica(0)));
      assertEquals(Optional.of(replica(0)), cluster.leader(GROUP));
    }
  }

  @Nested
  class WhenTheWholeClusterRestarts {
    /** Guards against a restart that loses commands or needs entries from before the snapshot. */
    @Test
    void theStateIsRecovered() {
      for (int i = 0; i < 1_200; i++) {
        cluster.proposeTo(replica(0), GROUP, "c" + i);
        cluster.run(1);
      }
      cluster.run(500);
      for (int i = 0; i < 3; i++) {
        cluster.crash(i);
        cluster.start(i);
      }
      assertTrue(cluster.runUntil(LIMIT_MS, () -> cluster.settled(GROUP)));
      assertEquals(1_200, replica(1).machine(GROUP).applied().size());
    }
  }

  @Nested
  class WhenAFollowerRestarts {
    /**
     * Guards against a vote directly after a restart, while an acknowledged lease is still valid.
     */
    @Test
    void grantsNoVoteWhileALeaseMayBeValid() {
      SimulatedReplica follower = replica(1);
      cluster.crash((leader + 1) % 3);
      cluster.setDisconnected(leader, true);
      cluster.start((leader + 1) % 3);
      GroupStatus status = follower.status(GROUP).orElseThrow();
      PeerMessage request =
          new PeerMessage.VoteRequest(
              GROUP,
              replica(2).member().incarnation(),
              status.term() + 1,
              false,
              status.lastIndex() + 10,
              status.term());
      cluster.run(500);
      cluster.deliver((leader + 1) % 3, replica(2).instance(), request);
      assertEquals(status.term(), follower.status(GROUP).orElseThrow().term());
      cluster.run(600);
      cluster.deliver((leader + 1) % 3, replica(2).instance(), request);
      assertEquals(status.term() + 1, follower.status(GROUP).orElseThrow().term());
    }
  }

  @Nested
  class WhenAProposalCannotBeAppended {
    /** Guards against a follower that accepts a proposal or does not name the leader. */
    @Test
    void aFollowerNamesTheLeader() {
      assertEquals(
          new ProposalOutcome.NotLeader(Optional.of(replica(0).instance())),
          propose(replica(1), Payload.ofText("a"), 100));
    }

    /** Guards against an entry that exceeds the frame limit and blocks replication. */
    @Test
    void aTooLargeCommandIsRefused() {
      ProposalOutcome outcome =
          propose(
              replica(0), Payload.copyOf(new byte[ConsensusConstants.MAX_COMMAND_BYTES + 1]), 100);
      assertTrue(outcome instanceof ProposalOutcome.NotLeader);
    }
  }
}
