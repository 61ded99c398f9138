package dev.caroblb.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.GroupId;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AgreementHandlerTest {
  private static final GroupId GROUP = SimulatedCluster.GROUP;
  private static final long SETTLE_MS = 15_000;

  /** Time after which no disk has a sync in progress. */
  private static final long SYNCED_MS = 100;

  private static SimulatedCluster settled(int size, long seed) {
    SimulatedCluster cluster = new SimulatedCluster(size, seed);
    assertTrue(cluster.runUntil(SETTLE_MS, () -> cluster.settled(GROUP)), "cluster did not settle");
    cluster.run(SYNCED_MS);
    return cluster;
  }

  private static int leaderIndex(SimulatedCluster cluster) {
    return cluster.replicas().indexOf(cluster.leader(GROUP).orElseThrow());
  }

  @Nested
  class WhenAllSlotsAreBlank {
    /** Guards against a group that is never bootstrapped, or that lacks one of its slots. */
    @Test
    void bootstrapsWithAllOfThem() {
      SimulatedCluster cluster = settled(3, 1);
      List<Member> members = cluster.replica(0).status(GROUP).orElseThrow().members();
      assertEquals(3, members.size());
    }

    /** Guards against a single replica that waits for others. */
    @Test
    void bootstrapsAlone() {
      SimulatedCluster cluster = settled(1, 2);
      cluster.propose(GROUP, "a");
      cluster.run(50);
      assertEquals(1, cluster.acknowledged().size());
    }

    /** Guards against groups that share state. */
    @Test
    void bootstrapsEachGroup() {
      GroupId keys = GroupId.keys(0);
      SimulatedCluster cluster = new SimulatedCluster(3, 3, GROUP, keys);
      assertTrue(
          cluster.runUntil(SETTLE_MS, () -> cluster.settled(GROUP) && cluster.settled(keys)));
      cluster.propose(keys, "k");
      cluster.run(500);
      assertEquals(1, cluster.replica(0).machine(keys).applied().size());
      assertEquals(0, cluster.replica(0).machine(GROUP).applied().size());
    }
  }

  @Nested
  class WhenOneSlotIsMissingAtTheFirstStart {
    /** Guards against bootstrapping with only some slots, by which the group could exist twice. */
    @Test
    void doesNotBootstrap() {
      SimulatedCluster cluster = new SimulatedCluster(3, 4);
      cluster.crash(2);
      assertFalse(cluster.runUntil(SETTLE_MS, () -> cluster.leader(GROUP).isPresent()));
    }
  }

  @Nested
  class WhenLeading {
    /**
     * Guards against a committed command that is not acknowledged or not applied by all replicas.
     */
    @Test
    void commitsAndApplies() {
      SimulatedCluster cluster = settled(3, 5);
      cluster.propose(GROUP, "a");
      cluster.propose(GROUP, "b");
      cluster.run(500);
      assertEquals(2, cluster.acknowledged().size());
      for (SimulatedReplica replica : cluster.replicas()) {
        assertEquals(2, replica.machine(GROUP).applied().size());
      }
    }

    /** Guards against a commit by replicas that have not synced the entry. */
    @Test
    void waitsForSyncsOfAMajority() {
      SimulatedCluster cluster = settled(3, 6);
      cluster.replicas().forEach(replica -> replica.delaySyncs(60_000));
      cluster.replica(leaderIndex(cluster)).delaySyncs(1);
      cluster.propose(GROUP, "a");
      cluster.run(5_000);
      assertEquals(0, cluster.acknowledged().size());
      assertTrue(cluster.leader(GROUP).isPresent(), "slow disks must not end the lease");
    }

    /** Guards against a leader that counts its own entry before its journal synced it. */
    @Test
    void countsItsOwnSyncOnlyWhenReported() {
      SimulatedCluster cluster = settled(3, 7);
      int leader = leaderIndex(cluster);
      cluster.replica(leader).delaySyncs(60_000);
      cluster.replica((leader + 1) % 3).delaySyncs(60_000);
      cluster.propose(GROUP, "a");
      cluster.run(5_000);
      assertEquals(0, cluster.acknowledged().size());
    }
  }

  @Nested
  class WhenTheLeaderCrashes {
    /** Guards against a committed command that is missing at the next leader. */
    @Test
    void anotherOneTakesOver() {
      SimulatedCluster cluster = settled(3, 8);
      cluster.propose(GROUP, "a");
      cluster.run(20);
      assertEquals(1, cluster.acknowledged().size());
      int old = leaderIndex(cluster);
      cluster.crash(old);
      assertTrue(cluster.runUntil(SETTLE_MS, () -> cluster.leader(GROUP).isPresent()));
      assertEquals(1, cluster.leader(GROUP).orElseThrow().machine(GROUP).applied().size());
      cluster.start(old);
      assertTrue(cluster.runUntil(SETTLE_MS, () -> cluster.settled(GROUP)));
    }
  }
}
