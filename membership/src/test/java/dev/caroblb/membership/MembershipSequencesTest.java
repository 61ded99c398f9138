package dev.caroblb.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import dev.caroblb.core.TargetId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;

/** Runs random sequences of faults against several instances whose clocks are up to 1% off. */
class MembershipSequencesTest {
  private static final int INSTANCES = 3;
  private static final int TARGETS = 3;

  /** Time after the end of a run from which on the run must get no work. */
  private static final long BOUND_MS = 4_000;

  private enum Kind {
    LEAVE,
    DIE,
    RESTART,
    MOVE,
    LINK
  }

  private record Action(Kind kind, int target, int from, int to, Cluster.Link link, int waitMs) {}

  /** A target that announces itself every second while it is alive. */
  private static final class Target {
    final TargetId id;
    long incarnation = 1;
    long sequence;
    boolean alive = true;
    boolean leaving;
    int entry;
    long nextMs;

    Target(int number) {
      id = new TargetId("t" + number);
      entry = number % INSTANCES;
      nextMs = number * 300L;
    }
  }

  /** One run of a target, from its start to its end or restart. */
  private record TargetRun(TargetId target, long incarnation) {}

  private static final class FaultScenario {
    final Cluster cluster;
    final List<Target> targets = new ArrayList<>();
    final Map<TargetRun, Long> endedAtMs = new HashMap<>();

    FaultScenario(long seed) {
      cluster = new Cluster(INSTANCES, seed);
      for (int i = 0; i < TARGETS; i++) {
        targets.add(new Target(i));
      }
    }

    void announce(Target target) {
      target.sequence++;
      target.nextMs = cluster.nowMs + 1_000;
      Announcement announcement =
          Announcements.of(target.id, target.incarnation, target.sequence, target.leaving);
      cluster.nodes.get(target.entry).announce(announcement, cluster.nowMs);
    }

    void end(Target target) {
      endedAtMs.putIfAbsent(new TargetRun(target.id, target.incarnation), cluster.nowMs);
    }

    void perform(Action action) {
      Target target = targets.get(action.target());
      switch (action.kind()) {
        case LEAVE -> leave(target);
        case DIE -> {
          target.alive = false;
          end(target);
        }
        case RESTART -> restart(target);
        case MOVE -> target.entry = action.to();
        case LINK -> cluster.link(action.from(), action.to(), action.link());
      }
      cluster.advance(action.waitMs(), this::step);
    }

    private void leave(Target target) {
      if (target.alive && !target.leaving) {
        target.leaving = true;
        announce(target);
        end(target);
      }
    }

    private void restart(Target target) {
      end(target);
      target.incarnation++;
      target.sequence = 0;
      target.alive = true;
      target.leaving = false;
    }

    void step() {
      for (Target target : targets) {
        if (target.alive && cluster.nowMs >= target.nextMs) {
          announce(target);
        }
      }
      for (Node node : cluster.nodes) {
        for (Map.Entry<TargetId, Long> work : node.available.entrySet()) {
          Long endedAt = endedAtMs.get(new TargetRun(work.getKey(), work.getValue()));
          assertFalse(
              endedAt != null && cluster.nowMs > endedAt + BOUND_MS,
              () -> node.id + " uses " + work + " at " + cluster.nowMs + ", ended " + endedAt);
        }
      }
    }
  }

  @Provide
  Arbitrary<List<Action>> actions() {
    Arbitrary<Integer> instance = Arbitraries.integers().between(0, INSTANCES - 1);
    return Combinators.combine(
            Arbitraries.frequency(
                Tuple.of(1, Kind.LEAVE),
                Tuple.of(1, Kind.DIE),
                Tuple.of(1, Kind.RESTART),
                Tuple.of(1, Kind.MOVE),
                Tuple.of(5, Kind.LINK)),
            Arbitraries.integers().between(0, TARGETS - 1),
            instance,
            instance,
            Arbitraries.of(Cluster.Link.class),
            Arbitraries.integers().between(0, 3_000))
        .as(Action::new)
        .list()
        .ofMaxSize(25);
  }

  /**
   * Guards against work for a run of a target that left, died or was replaced more than 4 s ago.
   */
  @Property(tries = 300, seed = "20261")
  void endedRunsGetNoWork(@ForAll("actions") List<Action> actions, @ForAll long seed) {
    FaultScenario scenario = new FaultScenario(seed);
    actions.forEach(scenario::perform);
    scenario.cluster.advance(BOUND_MS + 1_000, scenario::step);
  }

  /** Guards against instances that still disagree after all links work again. */
  @Property(tries = 200, seed = "20262")
  void healedInstancesAgree(@ForAll("actions") List<Action> actions, @ForAll long seed) {
    FaultScenario scenario = new FaultScenario(seed);
    actions.forEach(scenario::perform);
    scenario.cluster.allLinks(Cluster.Link.GOOD);
    scenario.cluster.advance(6_000, scenario::step);
    Map<TargetId, Long> expected = new HashMap<>();
    for (Target target : scenario.targets) {
      if (target.alive && !target.leaving) {
        expected.put(target.id, target.incarnation);
      }
    }
    for (Node node : scenario.cluster.nodes) {
      assertEquals(expected, node.available, () -> node.id + " after " + actions);
    }
    scenario.cluster.advance(3_000);
    Set<Set<TargetSummary>> digests = new HashSet<>();
    scenario
        .cluster
        .lastDigests
        .values()
        .forEach(digest -> digests.add(Set.copyOf(digest.targets())));
    assertEquals(1, digests.size(), () -> "digests differ: " + digests);
  }
}
