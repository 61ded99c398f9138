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
    NET,
    WAIT
  }

  private record Action(Kind kind, int node, int key, KeySimulation.NetworkMode net, int waitMs) {
    void perform(KeySimulation world) {
      switch (kind) {
        case CALL -> world.call(node, key, waitMs % 10 == 0 ? 1 : 0, 200 + waitMs * 2L);
        case CRASH -> world.crash(node);
        case CHANGE_LEADER -> world.changeLeader(node);
        case NET -> world.networkMode(net);
        case WAIT -> world.advance(waitMs);
      }
      world.advance(waitMs % 50);
    }
  }

  @Provide
  Arbitrary<List<Action>> actions() {
    return Combinators.combine(
            Arbitraries.frequency(
                Tuple.of(6, Kind.CALL),
                Tuple.of(1, Kind.CRASH),
                Tuple.of(1, Kind.CHANGE_LEADER),
                Tuple.of(1, Kind.NET),
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
    KeySimulation world = new KeySimulation(seed);
    actions.forEach(action -> action.perform(world));
    world.settle();
  }
}
