package dev.caroblb.orders;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.ModelId;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;

/** Drives leaders through engine restarts, running generations, late orders and new needs. */
class OrdersSequencesTest {
  private static final ModelId A = ModelId.of("a");
  private static final ModelId B = ModelId.of("b");
  private static final int ENGINES = 5;
  private static final int BURST = 2;
  private static final long INTERVAL_MS = 1_000;
  private static final long LEASE_MS = 1_000;
  private static final long STEP_MS = 50;

  /**
   * Guards against orders without a lease, to engines with running generations, two loads at once
   * or twice on one engine, more loads than the weight store sustains, needs that are never met,
   * and orders that go on after they are met.
   */
  @Property(tries = 300, seed = "45")
  void invariantsHold(
      @ForAll long seed, @ForAll boolean checks, @ForAll("actions") List<Action> actions) {
    World world = new World(seed, checks);
    actions.forEach(action -> action.run(world));
    world.settle();
  }

  @Provide
  Arbitrary<List<Action>> actions() {
    Arbitrary<Integer> engine = Arbitraries.integers().between(0, ENGINES - 1);
    Arbitrary<Action> advance =
        Arbitraries.integers().between(50, 12_000).map(ms -> w -> w.advance(ms));
    Arbitrary<Action> want =
        Combinators.combine(
                Arbitraries.integers().between(0, 3), Arbitraries.integers().between(0, 2))
            .as((a, b) -> w -> w.want(a, b));
    Arbitrary<Action> newLeader = Arbitraries.just(World::newLeader);
    Arbitrary<Action> cutLeader = Arbitraries.just(w -> w.renewsLease = false);
    Arbitrary<Action> restart = engine.map(i -> w -> w.engine(i).restart());
    Arbitrary<Action> late = Arbitraries.just(w -> w.fleet.releaseStalled());
    Arbitrary<Action> run =
        Combinators.combine(engine, Arbitraries.integers().between(0, 1))
            .as((i, running) -> w -> w.engine(i).running = running);
    return Arbitraries.frequencyOf(
            Tuple.of(8, advance),
            Tuple.of(3, want),
            Tuple.of(2, newLeader),
            Tuple.of(1, cutLeader),
            Tuple.of(1, restart),
            Tuple.of(3, late),
            Tuple.of(3, run))
        .list()
        .ofMinSize(10)
        .ofMaxSize(40);
  }

  private interface Action {
    void run(World world);
  }

  private static final class World {
    private final EngineFleet fleet;
    private OrdersHandler handler;
    private long term;
    private long leaseEndMs;
    private boolean renewsLease;
    private List<WantedModel> wanted = List.of(new WantedModel(A, 2), new WantedModel(B, 1));

    World(long seed, boolean checksTokens) {
      fleet = new EngineFleet(seed, ENGINES, checksTokens);
      newLeader();
    }

    EngineFleet.Engine engine(int index) {
      return List.copyOf(fleet.engines.values()).get(index);
    }

    void want(int a, int b) {
      wanted = List.of(new WantedModel(A, a), new WantedModel(B, b));
      handler.handle(new OrdersMessage.Wanted(wanted), fleet.nowMs);
    }

    /** Another instance takes over after the lease of the old leader. */
    void newLeader() {
      fleet.nowMs = Math.max(fleet.nowMs, leaseEndMs);
      term++;
      renewsLease = true;
      OrdersOutlets outlets =
          new OrdersOutlets(order -> fleet.offer(order, leaseEndMs), fleet::read);
      handler = new OrdersHandler(BURST, INTERVAL_MS, outlets, fleet.counters);
      handler.handle(new OrdersMessage.KnownEngines(fleet.engines.keySet()), fleet.nowMs);
      handler.handle(new OrdersMessage.Wanted(wanted), fleet.nowMs);
      fleet.loadTimes.clear();
      renew();
    }

    private void renew() {
      leaseEndMs = fleet.nowMs + LEASE_MS;
      Optional<InstanceId> self = Optional.of(new InstanceId("r" + term));
      handler.handle(
          new OrdersMessage.LeaseChanged(
              new LeaderLease(GroupId.CONTROL, term, self, true, leaseEndMs)),
          fleet.nowMs);
    }

    void advance(long ms) {
      for (long endMs = fleet.nowMs + ms; fleet.nowMs < endMs; fleet.nowMs += STEP_MS) {
        if (renewsLease) {
          renew();
        }
        if (handler.nextTickMs() <= fleet.nowMs) {
          handler.tick(fleet.nowMs);
        }
        fleet.step(handler);
      }
      checkRate();
    }

    private void checkRate() {
      for (int i = BURST; i < fleet.loadTimes.size(); i++) {
        long spanMs = fleet.loadTimes.get(i) - fleet.loadTimes.get(i - BURST);
        assertTrue(spanMs >= INTERVAL_MS, "more loads than the weight store sustains");
      }
    }

    void settle() {
      fleet.faulty = false;
      fleet.forgetStalled();
      fleet.engines.values().forEach(engine -> engine.running = 0);
      newLeader();
      advance(120_000);
      Map<ModelId, Long> counts = fleet.loadedCounts();
      for (WantedModel model : wanted) {
        long loaded = counts.getOrDefault(model.model(), 0L);
        assertTrue(loaded >= model.replicas(), () -> model + " has " + loaded);
      }
      long orders = fleet.counters.count(OrdersEvent.ORDERED);
      advance(120_000);
      assertEquals(orders, fleet.counters.count(OrdersEvent.ORDERED), "orders without a need");
    }
  }
}
