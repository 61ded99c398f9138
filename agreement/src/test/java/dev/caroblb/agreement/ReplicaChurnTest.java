package dev.caroblb.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.GroupId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Five replicas of which at most two are lost at the same time, again and again. A successor is
 * told any three replicas that ran shortly before its start, as an operator's list names them.
 */
class ReplicaChurnTest {
  private static final GroupId GROUP = SimulatedCluster.GROUP;
  private static final int SEEDS = 40;
  private static final int ROUNDS = 6;
  private static final int CONTACTS = 3;
  private static final int TOLERATED_LOSSES = 2;
  private static final long LIMIT_MS = 30_000;

  /** Time after which a replica that is back no longer counts as lost. */
  private static final long CATCH_UP_MS = 6_000;

  /** Time after a loss of power within which the group must work again. */
  private static final long RECOVER_MS = 15_000;

  /** The way in which a replica is lost during a round. */
  private enum Loss {
    RESTART,
    DISK_LOST,
    DISCONNECTED,
    REPLACED,
    REPLACED_AS_PLANNED
  }

  private static final class Scenario {
    private final SimulatedCluster cluster;
    private final Random random;
    private final List<Integer> machines = new ArrayList<>(List.of(0, 1, 2));

    /** Replicas that a successor may be told: those that ran at the start of the round. */
    private List<Integer> listed = List.of(0, 1, 2);

    private String history = "";

    Scenario(long seed) {
      random = new Random(seed);
      cluster = SimulatedCluster.withDynamicReplicas(3, TOLERATED_LOSSES, seed);
      assertTrue(cluster.runUntil(LIMIT_MS, () -> cluster.settled(GROUP)), "did not settle");
      machines.add(cluster.join(listed));
      machines.add(cluster.join(listed));
      assertTrue(cluster.runUntil(LIMIT_MS, () -> cluster.settled(GROUP)), "did not settle");
    }

    void loseSome() {
      listed = List.copyOf(machines);
      List<Integer> drawn = new ArrayList<>(machines);
      Collections.shuffle(drawn, random);
      for (int lost : drawn.subList(0, 1 + random.nextInt(TOLERATED_LOSSES))) {
        lose(lost, Loss.values()[random.nextInt(Loss.values().length)]);
      }
      cluster.run(CATCH_UP_MS);
      assertEquals(runningMembers(), members(), history);
    }

    private void lose(int index, Loss loss) {
      history += " " + loss + "(" + index + ")";
      switch (loss) {
        case RESTART -> {
          cluster.crash(index);
          cluster.run(random.nextInt(5_000));
          cluster.start(index);
        }
        case DISK_LOST -> {
          cluster.replica(index).loseDisk();
          cluster.run(random.nextInt(5_000));
          cluster.start(index);
        }
        case DISCONNECTED -> {
          cluster.setDisconnected(index, true);
          cluster.run(random.nextInt(6_000));
          cluster.setDisconnected(index, false);
        }
        case REPLACED -> {
          cluster.crash(index);
          machines.remove(Integer.valueOf(index));
          cluster.run(random.nextInt(2_000));
          join();
        }
        case REPLACED_AS_PLANNED -> {
          join();
          cluster.run(random.nextInt(2_000));
          cluster.crash(index);
          machines.remove(Integer.valueOf(index));
        }
      }
    }

    private void join() {
      List<Integer> contacts = new ArrayList<>(listed);
      Collections.shuffle(contacts, random);
      machines.add(cluster.join(contacts.subList(0, CONTACTS)));
    }

    private Set<String> runningMembers() {
      return names(machines.stream().map(index -> cluster.replica(index).member()).toList());
    }

    private Set<String> members() {
      return cluster
          .leader(GROUP)
          .flatMap(leader -> leader.status(GROUP))
          .map(status -> names(status.members()))
          .orElse(Set.of());
    }

    private static Set<String> names(List<Member> members) {
      Set<String> names = new TreeSet<>();
      for (Member member : members) {
        names.add(member.instance() + "/" + member.incarnation().substring(0, 4));
      }
      return names;
    }

    void loseTwoDisksAndAllPower() {
      int known = cluster.acknowledged().size();
      cluster.propose(GROUP, "last");
      assertTrue(cluster.runUntil(LIMIT_MS, () -> cluster.acknowledged().size() > known), history);
      Collections.shuffle(machines, random);
      machines.subList(0, TOLERATED_LOSSES).forEach(index -> cluster.replica(index).loseDisk());
      machines.subList(TOLERATED_LOSSES, machines.size()).forEach(cluster::crash);
      machines.forEach(cluster::start);
      assertTrue(
          cluster.runUntil(RECOVER_MS, () -> cluster.leader(GROUP).isPresent()),
          () -> "no leader:" + history);
      int applied = cluster.leader(GROUP).orElseThrow().machine(GROUP).applied().size();
      assertTrue(applied >= cluster.acknowledged().size(), () -> "lost a command:" + history);
    }
  }

  @Nested
  class WhenLossesFollowEachOther {
    /** Guards against a replica that is back or new but does not become a member in time. */
    @Test
    void allRunningReplicasAreMembersAndTheGroupSurvivesALossOfPower() {
      for (long seed = 0; seed < SEEDS; seed++) {
        Scenario scenario = new Scenario(seed);
        scenario.history = " seed " + seed + ":";
        for (int round = 0; round < ROUNDS; round++) {
          scenario.loseSome();
        }
        scenario.loseTwoDisksAndAllPower();
      }
    }
  }
}
