package dev.caroblb.configuration;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;

/** Runs random sequences of publishes, faults and leader changes against leaders and entries. */
class ConfigurationSequencesTest {
  /**
   * Guards against entries that admit calls under a number older than the one declared in force,
   * installed numbers that decrease, two contents accepted under one number, resends that are
   * applied twice or answered differently, and publishes that are not in force in time after the
   * faults end.
   */
  @Property(tries = 400, seed = "43")
  void invariantsHold(@ForAll long seed, @ForAll("actions") List<Action> actions) {
    Simulation simulation = new Simulation(seed);
    simulation.advance(3_000);
    for (Action action : actions) {
      action.run(simulation);
    }
    simulation.settle();
  }

  @Provide
  Arbitrary<List<Action>> actions() {
    Arbitrary<Integer> node = Arbitraries.integers().between(0, 5);
    Arbitrary<Action> advance =
        Arbitraries.integers().between(10, 900).map(ms -> s -> s.advance(ms));
    Arbitrary<Action> advanceLong =
        Arbitraries.integers().between(2_000, 9_000).map(ms -> s -> s.advance(ms));
    Arbitrary<Action> publish =
        Combinators.combine(
                node, Arbitraries.integers().between(0, 2), Arbitraries.integers().between(0, 8))
            .as((n, ahead, content) -> s -> s.publish(n, ahead, content));
    Arbitrary<Action> resend =
        Combinators.combine(node, Arbitraries.integers().between(0, 20))
            .as((n, index) -> s -> s.resend(n, index));
    Arbitrary<Action> isolate = node.map(n -> s -> s.nodes.get(n).isolated = true);
    Arbitrary<Action> heal = Arbitraries.just(s -> s.nodes.forEach(n -> n.isolated = false));
    Arbitrary<Action> restart = node.map(n -> s -> restart(s, s.nodes.get(n)));
    Arbitrary<Action> isolateLeader =
        Arbitraries.just(s -> s.group.leader().ifPresent(l -> l.isolated = true));
    Arbitrary<Action> fullRings = node.map(n -> s -> fillRings(s.nodes.get(n)));
    return Arbitraries.frequencyOf(
            Tuple.of(8, advance),
            Tuple.of(2, advanceLong),
            Tuple.of(6, publish),
            Tuple.of(2, resend),
            Tuple.of(2, isolate),
            Tuple.of(3, heal),
            Tuple.of(2, restart),
            Tuple.of(2, isolateLeader),
            Tuple.of(1, fullRings))
        .list()
        .ofMinSize(10)
        .ofMaxSize(50);
  }

  private static void restart(Simulation simulation, SimulatedNode node) {
    node.restart();
    if (simulation.group.leader().filter(leader -> leader == node).isPresent()) {
      simulation.group.leaderLost();
    }
  }

  private static void fillRings(SimulatedNode node) {
    node.viewsToRefuse = 3;
    node.statesToDrop = 1;
  }

  private interface Action {
    void run(Simulation simulation);
  }
}
