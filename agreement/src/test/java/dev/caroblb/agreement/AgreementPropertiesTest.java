package dev.caroblb.agreement;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.GroupId;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tuple;

/**
 * Injects random failures into a simulated cluster, which checks its invariants after every step:
 * at most one leader per term, at most one lease at a time, and the same commands applied by all
 * replicas. A failing run prints the seed and the actions.
 */
class AgreementPropertiesTest {
  private static final GroupId GROUP = SimulatedCluster.GROUP;
  private static final long SETTLE_MS = 60_000;
  private static final int TRIES = 150;

  /** Type of an action on the cluster. */
  enum Kind {
    PROPOSE,
    WAIT,
    CUT_OFF,
    RECONNECT,
    CUT_LINK,
    RECONNECT_LINK,
    CRASH,
    RESTART,
    LOSE_DISK,
    SLOW_DISK,
    BAD_NETWORK,
    GOOD_NETWORK
  }

  record Action(Kind kind, int slot, int amount) {}

  @Provide
  Arbitrary<List<Action>> actions() {
    Arbitrary<Kind> kinds =
        Arbitraries.frequencyOf(
            Tuple.of(8, Arbitraries.just(Kind.PROPOSE)),
            Tuple.of(6, Arbitraries.just(Kind.WAIT)),
            Tuple.of(10, Arbitraries.of(Kind.values())));
    return Combinators.combine(kinds, Arbitraries.integers().between(0, 4), amounts())
        .as(Action::new)
        .list()
        .ofMinSize(10)
        .ofMaxSize(60);
  }

  private static Arbitrary<Integer> amounts() {
    return Arbitraries.integers().between(1, 100);
  }

  /** A simulated cluster on which actions are performed. */
  private static final class Scenario {
    private final SimulatedCluster cluster;
    private final int size;
    private int proposals;

    Scenario(int size, long seed) {
      this.size = size;
      cluster = new SimulatedCluster(size, seed);
      cluster.runUntil(SETTLE_MS, () -> cluster.settled(GROUP));
    }

    void perform(Action action, boolean keepMajority) {
      int slot = action.slot() % size;
      switch (action.kind()) {
        case PROPOSE -> proposeSome(action.amount());
        case WAIT -> cluster.run(action.amount() * 30L);
        case CUT_OFF -> cluster.setDisconnected(slot, true);
        case RECONNECT -> cluster.setDisconnected(slot, false);
        case CUT_LINK -> cluster.setLinkDown(slot, action.amount() % size, true);
        case RECONNECT_LINK -> cluster.setLinkDown(slot, action.amount() % size, false);
        case CRASH -> cluster.crash(slot);
        case RESTART -> cluster.start(slot);
        case LOSE_DISK -> loseDisk(slot, keepMajority);
        case SLOW_DISK -> cluster.replica(slot).delaySyncs(action.amount() * 10L);
        case BAD_NETWORK -> cluster.network(action.amount() / 3, 10, 1 + action.amount() * 5);
        case GOOD_NETWORK -> cluster.network(0, 0, 2);
      }
      cluster.run(action.amount());
    }

    private void proposeSome(int count) {
      for (int i = 0; i < count; i++) {
        cluster.propose(GROUP, "c" + proposals++);
        cluster.run(1);
      }
    }

    /**
     * Loses a disk, unless no other disk stores an entry: if all are empty, a new group is
     * correctly bootstrapped. With {@code keepMajority}, disks are lost only while the cluster is
     * settled.
     */
    private void loseDisk(int slot, boolean keepMajority) {
      if (keepMajority && !cluster.settled(GROUP)) {
        return;
      }
      for (int i = 0; i < size; i++) {
        if (i != slot && cluster.replica(i).disk().holdsEntries(GROUP)) {
          cluster.replica(slot).loseDisk();
          cluster.start(slot);
          return;
        }
      }
    }

    void heal() {
      cluster.network(0, 0, 2);
      for (int i = 0; i < size; i++) {
        cluster.setDisconnected(i, false);
        for (int j = 0; j < size; j++) {
          cluster.setLinkDown(i, j, false);
        }
        cluster.replica(i).delaySyncs(1);
        cluster.start(i);
      }
    }

    void expectAcknowledgedCommands() {
      assertTrue(
          cluster.runUntil(SETTLE_MS, () -> cluster.settled(GROUP)), "the cluster did not settle");
      for (SimulatedReplica replica : cluster.replicas()) {
        assertTrue(
            replica.machine(GROUP).applied().containsAll(cluster.acknowledged()),
            "a replica lacks an acknowledged command");
      }
    }
  }

  @Group
  class WhenAMajorityOfTheDisksSurvives {
    /** Guards against lost or changed commands and against a cluster that does not recover. */
    @Property(tries = TRIES, seed = "20261204", shrinking = ShrinkingMode.BOUNDED)
    void threeReplicasRecover(@ForAll("actions") List<Action> actions, @ForAll long seed) {
      recover(3, actions, seed);
    }

    /** Guards against the same failures with five replicas, where a quorum may lack two members. */
    @Property(tries = TRIES, seed = "20261205", shrinking = ShrinkingMode.BOUNDED)
    void fiveReplicasRecover(@ForAll("actions") List<Action> actions, @ForAll long seed) {
      recover(5, actions, seed);
    }

    private void recover(int size, List<Action> actions, long seed) {
      Scenario scenario = new Scenario(size, seed);
      actions.forEach(action -> scenario.perform(action, true));
      scenario.heal();
      scenario.expectAcknowledgedCommands();
    }

    @Provide
    Arbitrary<List<Action>> actions() {
      return AgreementPropertiesTest.this.actions();
    }
  }

  @Group
  class WhenAllDisksButOneMayBeLost {
    /** Guards against two leaders or diverging replicas after a quorum of disks is lost. */
    @Property(tries = TRIES, seed = "20261206", shrinking = ShrinkingMode.BOUNDED)
    void nothingDiverges(
        @ForAll("actions") List<Action> actions, @ForAll long seed, @ForAll boolean five) {
      Scenario scenario = new Scenario(five ? 5 : 3, seed);
      actions.forEach(action -> scenario.perform(action, false));
      scenario.heal();
      scenario.cluster.run(20_000);
    }

    @Provide
    Arbitrary<List<Action>> actions() {
      return AgreementPropertiesTest.this.actions();
    }
  }
}
