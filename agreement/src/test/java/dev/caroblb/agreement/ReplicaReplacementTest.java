package dev.caroblb.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.GroupId;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Replicas that join at addresses that are not in the settings of the others. */
class ReplicaReplacementTest {
  private static final GroupId GROUP = SimulatedCluster.GROUP;
  private static final long LIMIT_MS = 30_000;

  /** Time after its start within which a successor must be a member. */
  private static final long CATCH_UP_MS = 4_000;

  private static final List<Integer> INITIAL_REPLICAS = List.of(0, 1, 2);

  private static SimulatedCluster settled(long seed) {
    SimulatedCluster cluster = SimulatedCluster.withDynamicReplicas(3, seed);
    assertTrue(cluster.runUntil(LIMIT_MS, () -> cluster.settled(GROUP)), "cluster did not settle");
    propose(cluster, "before");
    return cluster;
  }

  private static void propose(SimulatedCluster cluster, String command) {
    int known = cluster.acknowledged().size();
    cluster.propose(GROUP, command);
    assertTrue(
        cluster.runUntil(LIMIT_MS, () -> cluster.acknowledged().size() > known),
        command + " is not acknowledged");
  }

  private static Optional<List<Member>> members(SimulatedCluster cluster) {
    return cluster.leader(GROUP).flatMap(leader -> leader.status(GROUP)).map(GroupStatus::members);
  }

  private static boolean member(SimulatedCluster cluster, int index) {
    Member member = cluster.replica(index).member();
    return members(cluster).filter(list -> list.contains(member)).isPresent();
  }

  private static int follower(SimulatedCluster cluster) {
    int leader = cluster.replicas().indexOf(cluster.leader(GROUP).orElseThrow());
    return (leader + 1) % 3;
  }

  @Nested
  class WhenAMachineIsReplacedAtANewAddress {
    /**
     * Guards against a successor that is not added, so that the group stops at the next failure.
     */
    @Test
    void theNextFailureIsTolerated() {
      SimulatedCluster cluster = settled(21);
      int replaced = follower(cluster);
      cluster.crash(replaced);
      cluster.run(1_000);
      int successor = cluster.join(INITIAL_REPLICAS);
      cluster.run(CATCH_UP_MS);
      assertTrue(member(cluster, successor), "not added in time");
      assertFalse(member(cluster, replaced), "not removed in time");
      assertEquals(3, members(cluster).orElseThrow().size());
      cluster.crash(cluster.replicas().indexOf(cluster.leader(GROUP).orElseThrow()));
      assertTrue(cluster.runUntil(LIMIT_MS, () -> cluster.leader(GROUP).isPresent()), "no leader");
      propose(cluster, "after");
    }

    /** Guards against an even number of members after the old machine is gone. */
    @Test
    void aSuccessorThatJoinedFirstReplacesTheMember() {
      SimulatedCluster cluster = settled(22);
      int successor = cluster.join(INITIAL_REPLICAS);
      assertTrue(cluster.runUntil(LIMIT_MS, () -> member(cluster, successor)), "not added");
      int replaced = follower(cluster);
      cluster.crash(replaced);
      assertTrue(cluster.runUntil(LIMIT_MS, () -> !member(cluster, replaced)), "not removed");
      assertEquals(3, members(cluster).orElseThrow().size());
    }

    /** Guards against dead members that use up the losses which the group should tolerate. */
    @Test
    void successorsThatJoinedFirstReplaceTwoMembers() {
      SimulatedCluster cluster = SimulatedCluster.withDynamicReplicas(3, 2, 25);
      assertTrue(cluster.runUntil(LIMIT_MS, () -> cluster.settled(GROUP)), "did not settle");
      List<Integer> replaced =
          List.of(cluster.join(INITIAL_REPLICAS), cluster.join(INITIAL_REPLICAS));
      List<Integer> successors =
          List.of(cluster.join(INITIAL_REPLICAS), cluster.join(INITIAL_REPLICAS));
      assertTrue(cluster.runUntil(LIMIT_MS, () -> cluster.settled(GROUP)), "not all are members");
      replaced.forEach(cluster::crash);
      cluster.run(CATCH_UP_MS);
      successors.forEach(cluster::crash);
      assertTrue(cluster.runUntil(LIMIT_MS, () -> cluster.leader(GROUP).isPresent()), "no leader");
      propose(cluster, "after");
    }

    /** Guards against a replica that was only disconnected and is never added again. */
    @Test
    void aReconnectedMachineIsAddedAgain() {
      SimulatedCluster cluster = settled(23);
      int disconnected = follower(cluster);
      cluster.setDisconnected(disconnected, true);
      cluster.run(1_000);
      int successor = cluster.join(INITIAL_REPLICAS);
      assertTrue(cluster.runUntil(LIMIT_MS, () -> member(cluster, successor)), "not added");
      cluster.setDisconnected(disconnected, false);
      assertTrue(
          cluster.runUntil(LIMIT_MS, () -> member(cluster, disconnected)), "not added again");
    }
  }

  @Nested
  class WhenTheLeaderIsNotAContactOfTheSuccessor {
    /** Lets two replicas join the initial ones, and one of the two lead. */
    private SimulatedCluster ledByAJoinedReplica(long seed) {
      SimulatedCluster cluster = settled(seed);
      cluster.join(INITIAL_REPLICAS);
      cluster.join(INITIAL_REPLICAS);
      assertTrue(cluster.runUntil(LIMIT_MS, () -> cluster.settled(GROUP)), "not all are members");
      while (INITIAL_REPLICAS.contains(leaderIndex(cluster))) {
        int former = leaderIndex(cluster);
        cluster.crash(former);
        assertTrue(cluster.runUntil(LIMIT_MS, () -> cluster.leader(GROUP).isPresent()));
        cluster.start(former);
        assertTrue(cluster.runUntil(LIMIT_MS, () -> cluster.settled(GROUP)));
      }
      return cluster;
    }

    private int leaderIndex(SimulatedCluster cluster) {
      return cluster.replicas().indexOf(cluster.leader(GROUP).orElseThrow());
    }

    /** Guards against a successor that only the followers know and that is never added. */
    @Test
    void theSuccessorIsAdded() {
      SimulatedCluster cluster = ledByAJoinedReplica(31);
      cluster.crash(0);
      cluster.run(1_000);
      int successor = cluster.join(INITIAL_REPLICAS);
      cluster.run(CATCH_UP_MS);
      assertTrue(member(cluster, successor), "not added in time");
      assertFalse(member(cluster, 0), "not removed in time");
    }

    /** Guards against a group without a quorum after losses that it should tolerate. */
    @Test
    void theGroupSurvivesTheLossOfTwoDisksAfterTwoReplacements() {
      SimulatedCluster cluster = ledByAJoinedReplica(32);
      for (int replaced : List.of(0, 1)) {
        cluster.crash(replaced);
        cluster.run(1_000);
        cluster.join(INITIAL_REPLICAS);
        cluster.run(CATCH_UP_MS);
      }
      propose(cluster, "last");
      List<Integer> lost = List.of(2, leaderIndex(cluster));
      List<Integer> running = List.of(2, 3, 4, 5, 6);
      lost.forEach(index -> cluster.replica(index).loseDisk());
      running.forEach(cluster::crash);
      running.forEach(cluster::start);
      assertTrue(cluster.runUntil(LIMIT_MS, () -> cluster.leader(GROUP).isPresent()), "no leader");
      propose(cluster, "after");
    }
  }

  @Nested
  class WhenOnlyBlankReplicasRun {
    /** Guards against a second group bootstrapped by replicas that are new or lost their disks. */
    @Test
    void theyBootstrapNothingAfterTheFirstStart() {
      SimulatedCluster cluster = settled(24);
      INITIAL_REPLICAS.forEach(cluster::crash);
      int first = cluster.join(List.of(3, 4, 5).subList(0, 0));
      int second = cluster.join(List.of(first));
      cluster.join(List.of(first, second));
      assertFalse(cluster.runUntil(LIMIT_MS, () -> cluster.leader(GROUP).isPresent()));
    }
  }

  @Nested
  class WhenMachinesAreReplacedRepeatedly {
    /** Guards against lost commands and two leaders while members change. */
    @Test
    void nothingAcknowledgedIsLost() {
      for (long seed = 0; seed < 20; seed++) {
        SimulatedCluster cluster = settled(100 + seed);
        Random random = new Random(seed);
        for (int round = 0; round < 3; round++) {
          replaceOne(cluster, random);
          propose(cluster, "round-" + round);
        }
        int acknowledged = cluster.acknowledged().size();
        int applied = cluster.leader(GROUP).orElseThrow().machine(GROUP).applied().size();
        assertTrue(applied >= acknowledged, "seed " + seed + " lost a command");
      }
    }

    private void replaceOne(SimulatedCluster cluster, Random random) {
      List<SimulatedReplica> running =
          cluster.replicas().stream().filter(SimulatedReplica::running).toList();
      SimulatedReplica replaced = running.get(random.nextInt(running.size()));
      int replacedIndex = cluster.replicas().indexOf(replaced);
      cluster.crash(replacedIndex);
      cluster.run(random.nextInt(3_000));
      List<Integer> contacts =
          running.stream()
              .filter(SimulatedReplica::running)
              .map(replica -> cluster.replicas().indexOf(replica))
              .toList();
      int successor = cluster.join(contacts);
      assertTrue(
          cluster.runUntil(
              LIMIT_MS, () -> member(cluster, successor) && !member(cluster, replacedIndex)),
          "not replaced");
    }
  }
}
