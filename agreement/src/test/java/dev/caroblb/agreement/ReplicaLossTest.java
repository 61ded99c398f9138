package dev.caroblb.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.GroupId;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ReplicaLossTest {
  private static final GroupId GROUP = SimulatedCluster.GROUP;
  private static final long LIMIT_MS = 30_000;

  private static SimulatedCluster settled(int size, long seed) {
    SimulatedCluster cluster = new SimulatedCluster(size, seed);
    assertTrue(cluster.runUntil(LIMIT_MS, () -> cluster.settled(GROUP)), "cluster did not settle");
    cluster.propose(GROUP, "before");
    cluster.run(500);
    assertEquals(1, cluster.acknowledged().size());
    return cluster;
  }

  private static int leaderIndex(SimulatedCluster cluster) {
    return cluster.replicas().indexOf(cluster.leader(GROUP).orElseThrow());
  }

  private static void lose(SimulatedCluster cluster, int index) {
    cluster.replica(index).loseDisk();
  }

  private static List<Member> members(SimulatedCluster cluster, int index) {
    return cluster.replica(index).status(GROUP).orElseThrow().members();
  }

  private static void expectRecovery(SimulatedCluster cluster) {
    assertTrue(
        cluster.runUntil(LIMIT_MS, () -> cluster.settled(GROUP)), "cluster did not settle again");
    cluster.propose(GROUP, "after");
    cluster.run(1_000);
    for (SimulatedReplica replica : cluster.replicas()) {
      assertEquals(2, replica.machine(GROUP).applied().size());
    }
  }

  @Nested
  class WhenOneDiskIsLost {
    /** Guards against a newly formatted folder that is not added or counts as the old member. */
    @Test
    void isReplaced() {
      SimulatedCluster cluster = settled(3, 11);
      int lost = (leaderIndex(cluster) + 1) % 3;
      Member old = cluster.replica(lost).member();
      lose(cluster, lost);
      cluster.start(lost);
      expectRecovery(cluster);
      assertFalse(members(cluster, 0).contains(old));
    }

    /** Guards against a replacement that needs the lost leader. */
    @Test
    void isReplacedWhenItWasTheLeader() {
      SimulatedCluster cluster = settled(3, 12);
      int lost = leaderIndex(cluster);
      lose(cluster, lost);
      cluster.start(lost);
      expectRecovery(cluster);
    }

    /** Guards against members that are removed although their folder may still exist. */
    @Test
    void staysAMemberUntilTheSlotReports() {
      SimulatedCluster cluster = settled(3, 13);
      int lost = (leaderIndex(cluster) + 1) % 3;
      lose(cluster, lost);
      cluster.run(LIMIT_MS);
      assertEquals(3, members(cluster, leaderIndex(cluster)).size());
    }
  }

  @Nested
  class WhenASecondDiskIsLostAfterTheFirstRemoval {
    /** Guards against a single survivor that cannot lead although it has every committed entry. */
    @Test
    void theSurvivorLeads() {
      SimulatedCluster cluster = settled(3, 14);
      int survivor = loseTwo(cluster);
      cluster.start((survivor + 1) % 3);
      cluster.start((survivor + 2) % 3);
      expectRecovery(cluster);
    }

    /**
     * Guards against a surviving member that no longer knows after a restart that the removal is
     * committed.
     */
    @Test
    void theSurvivorLeadsAfterARestart() {
      SimulatedCluster cluster = settled(3, 15);
      int survivor = loseTwo(cluster);
      cluster.crash(survivor);
      cluster.start(survivor);
      cluster.start((survivor + 1) % 3);
      cluster.start((survivor + 2) % 3);
      expectRecovery(cluster);
    }

    /**
     * Loses a follower's disk, waits for its removal, then crashes its slot again and loses the
     * leader's disk. Returns the index of the surviving replica.
     */
    private int loseTwo(SimulatedCluster cluster) {
      int leader = leaderIndex(cluster);
      int first = (leader + 1) % 3;
      int survivor = (leader + 2) % 3;
      lose(cluster, first);
      cluster.start(first);
      BooleanSupplier removed = () -> members(cluster, survivor).size() == 2;
      assertTrue(cluster.runUntil(LIMIT_MS, removed));
      cluster.crash(first);
      cluster.run(300);
      assertEquals(2, members(cluster, survivor).size(), "the removal must be the last change");
      lose(cluster, leader);
      return survivor;
    }
  }

  @Nested
  class WhenTwoOfThreeDisksAreLostAtOnce {
    /** Guards against a surviving member that leads although it may lack committed entries. */
    @Test
    void noLeaderIsElectedAndNoGroupIsBootstrapped() {
      SimulatedCluster cluster = settled(3, 16);
      int survivor = leaderIndex(cluster);
      lose(cluster, (survivor + 1) % 3);
      lose(cluster, (survivor + 2) % 3);
      cluster.start((survivor + 1) % 3);
      cluster.start((survivor + 2) % 3);
      cluster.run(5_000);
      assertFalse(cluster.runUntil(LIMIT_MS, () -> cluster.leader(GROUP).isPresent()));
    }
  }

  @Nested
  class WhenTwoOfFiveDisksAreLostAtOnce {
    /** Guards against replacements that block each other. */
    @Test
    void bothAreReplaced() {
      SimulatedCluster cluster = settled(5, 17);
      int leader = leaderIndex(cluster);
      lose(cluster, leader);
      lose(cluster, (leader + 1) % 5);
      cluster.start(leader);
      cluster.start((leader + 1) % 5);
      expectRecovery(cluster);
    }
  }

  @Nested
  class WhenAnOldReportArrivesLate {
    /** Guards against a delayed report that makes a live member look lost. */
    @Test
    void noMemberIsRemoved() {
      SimulatedCluster cluster = settled(3, 18);
      int leader = leaderIndex(cluster);
      int other = (leader + 1) % 3;
      PeerMessage late =
          new PeerMessage.Report(GROUP, "00000000000000000000000000000000", 42, true, List.of());
      cluster.deliver(leader, cluster.replica(other).instance(), late);
      long lastIndex = cluster.replica(leader).status(GROUP).orElseThrow().lastIndex();
      cluster.run(2_000);
      assertEquals(3, members(cluster, leader).size());
      assertEquals(lastIndex, cluster.replica(leader).status(GROUP).orElseThrow().lastIndex());
    }
  }
}
