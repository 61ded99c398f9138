package dev.caroblb.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Disks of replicas refuse writes for some seconds. A replica whose disk refuses a write ends and
 * is restarted, also while the disk is still full.
 */
class FullDiskTest {
  private static final long SETTLE_MS = 30_000;
  private static final long RESTART_MS = 900;
  private static final long FULL_MS = 4_500;
  private static final long PROPOSAL_INTERVAL_MS = 150;
  private static final int SEEDS = 12;

  /** Time in milliseconds within which a change must be acknowledged once all disks have space. */
  private static final long ACKNOWLEDGE_MS = 4_000;

  private SimulatedCluster cluster;
  private int proposals;

  private void start(SimulatedCluster started) {
    cluster = started;
    assertTrue(
        cluster.runUntil(SETTLE_MS, () -> cluster.settled(SimulatedCluster.GROUP)),
        "cluster did not settle");
  }

  /** Runs the cluster with proposals and restarts ended processes. */
  private void run(long durationMs) {
    for (long ms = 0; ms < durationMs; ms += PROPOSAL_INTERVAL_MS) {
      propose();
      cluster.run(PROPOSAL_INTERVAL_MS);
      if (ms % RESTART_MS == 0) {
        for (int i = 0; i < cluster.replicas().size(); i++) {
          cluster.start(i);
        }
      }
    }
  }

  private String propose() {
    String command = "c" + proposals++;
    cluster
        .leader(SimulatedCluster.GROUP)
        .ifPresent(leader -> cluster.proposeTo(leader, SimulatedCluster.GROUP, command));
    return command;
  }

  private void fillInTurn(int first, long pauseMs) {
    int size = cluster.replicas().size();
    for (int i = 0; i < size; i++) {
      SimulatedDisk disk = cluster.replica((first + i) % size).disk();
      disk.setFull(true);
      run(FULL_MS);
      disk.setFull(false);
      run(pauseMs);
    }
  }

  private int leaderIndex() {
    return cluster.replicas().indexOf(cluster.leader(SimulatedCluster.GROUP).orElseThrow());
  }

  /** Fills the disk of whichever replica leads, several times. */
  private void fillLeaders(int times, long pauseMs) {
    for (int i = 0; i < times; i++) {
      SimulatedDisk disk = cluster.replica(leaderIndex()).disk();
      disk.setFull(true);
      run(FULL_MS);
      disk.setFull(false);
      run(pauseMs);
    }
  }

  private void assertChangesAreAcknowledged() {
    run(SETTLE_MS / 10);
    String last = propose();
    assertTrue(
        cluster.runUntil(ACKNOWLEDGE_MS, () -> cluster.acknowledged().contains(last)),
        "a change is not acknowledged after all disks have space");
    assertTrue(
        cluster.runUntil(SETTLE_MS, () -> cluster.settled(SimulatedCluster.GROUP)),
        "a replica does not catch up");
    for (SimulatedReplica replica : cluster.replicas()) {
      Set<String> applied = Set.copyOf(replica.machine(SimulatedCluster.GROUP).applied());
      assertEquals(
          Set.of(),
          cluster.acknowledged().stream()
              .filter(command -> !applied.contains(command))
              .collect(Collectors.toSet()));
    }
  }

  @Nested
  class OneAfterAnother {
    /** Guards against changes that stay refused after the last disk has space again. */
    @Test
    void changesAreAcknowledgedAfterwards() {
      for (int seed = 0; seed < SEEDS; seed++) {
        start(new SimulatedCluster(3, seed));
        fillInTurn(leaderIndex(), seed % 3 * 700L);
        assertChangesAreAcknowledged();
      }
    }

    /** Guards against the same with replicas that join by themselves and replace silent members. */
    @Test
    void changesAreAcknowledgedAfterwardsByReplicasThatJoin() {
      for (int seed = 0; seed < SEEDS; seed++) {
        start(SimulatedCluster.withDynamicReplicas(3, seed));
        fillInTurn(leaderIndex(), seed % 3 * 700L);
        assertChangesAreAcknowledged();
      }
    }
  }

  @Nested
  class OfLeaders {
    /** Guards against a group that no replica leads any more. */
    @Test
    void changesAreAcknowledgedAfterwards() {
      for (int seed = 0; seed < SEEDS; seed++) {
        start(SimulatedCluster.withDynamicReplicas(3, 100 + seed));
        fillLeaders(4, 3_000);
        assertChangesAreAcknowledged();
      }
    }
  }
}
