package dev.caroblb.idempotency;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;

/** Random sequences of calls and faults; the checks are in {@link KeySimulation}. */
class IdempotencySequencesTest {
  private enum Kind {
    CALL,
    CRASH,
    CHANGE_LEADER,
    CHANGE_NETWORK_MODE,
    WAIT
  }

  private record Action(
      Kind kind, int node, int key, KeySimulation.NetworkMode networkMode, int waitMs) {
    void perform(KeySimulation simulation) {
      switch (kind) {
        case CALL -> simulation.call(node, key, waitMs % 10 == 0 ? 1 : 0, 200 + waitMs * 2L);
        case CRASH -> simulation.crash(node);
        case CHANGE_LEADER -> simulation.changeLeader(node);
        case CHANGE_NETWORK_MODE -> simulation.networkMode(networkMode);
        case WAIT -> simulation.advance(waitMs);
      }
      simulation.advance(waitMs % 50);
    }
  }

  @Provide
  Arbitrary<List<Action>> actions() {
    return Combinators.combine(
            Arbitraries.frequency(
                Tuple.of(6, Kind.CALL),
                Tuple.of(1, Kind.CRASH),
                Tuple.of(1, Kind.CHANGE_LEADER),
                Tuple.of(1, Kind.CHANGE_NETWORK_MODE),
                Tuple.of(2, Kind.WAIT)),
            Arbitraries.integers().between(0, KeySimulation.NODES - 1),
            Arbitraries.integers().between(0, 2),
            Arbitraries.of(KeySimulation.NetworkMode.class),
            Arbitraries.integers().between(0, 2_000))
        .as(Action::new)
        .list()
        .ofMaxSize(40);
  }

  /**
   * Guards against a key that is dispatched twice, "not run" for a dispatched call, a changed
   * stored outcome, a call that never ends, and diverging replicas.
   */
  @Property(tries = 500, seed = "20272")
  void everyCallRunsAtMostOnceAndEnds(@ForAll("actions") List<Action> actions, @ForAll long seed) {
    KeySimulation simulation = new KeySimulation(seed);
    actions.forEach(action -> action.perform(simulation));
    simulation.settle();
  }
}
