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

/**
 * Random sequences of leader changes, engine restarts, generations, late orders and wanted models.
 */
class OrdersSequencesTest {
  private static final ModelId A = ModelId.of("a");
  private static final ModelId B = ModelId.of("b");
  private static final int ENGINES = 5;
  private static final int BURST = 2;
  private static final long INTERVAL_MS = 1_000;
  private static final long LEASE_MS = 1_000;
  private static final long STEP_MS = 50;

  /**
   * Guards against orders without a lease or to engines with running generations, concurrent or
   * duplicate loads on an engine, more loads than the weight store sustains, wanted models that are
   * never loaded, and orders that continue after all are loaded.
   */
  @Property(tries = 300, seed = "45")
  void ordersAreSafeAndReachTheWantedModels(
      @ForAll long seed, @ForAll boolean checksTokens, @ForAll("actions") List<Action> actions) {
    Simulation simulation = new Simulation(seed, checksTokens);
    actions.forEach(action -> action.run(simulation));
    simulation.runToSteadyState();
  }

  @Provide
  Arbitrary<List<Action>> actions() {
    Arbitrary<Integer> engine = Arbitraries.integers().between(0, ENGINES - 1);
    Arbitrary<Action> advance =
        Arbitraries.integers().between(50, 12_000).map(ms -> simulation -> simulation.advance(ms));
    Arbitrary<Action> want =
        Combinators.combine(
                Arbitraries.integers().between(0, 3), Arbitraries.integers().between(0, 2))
            .as((a, b) -> simulation -> simulation.want(a, b));
    Arbitrary<Action> newLeader = Arbitraries.just(Simulation::newLeader);
    Arbitrary<Action> stopRenewal = Arbitraries.just(simulation -> simulation.renewsLease = false);
    Arbitrary<Action> restart = engine.map(i -> simulation -> simulation.engine(i).restart());
    Arbitrary<Action> lateOrder =
        Arbitraries.just(simulation -> simulation.engines.deliverDelayed());
    Arbitrary<Action> setRunning =
        Combinators.combine(engine, Arbitraries.integers().between(0, 1))
            .as((i, running) -> simulation -> simulation.engine(i).running = running);
    return Arbitraries.frequencyOf(
            Tuple.of(8, advance),
            Tuple.of(3, want),
            Tuple.of(2, newLeader),
            Tuple.of(1, stopRenewal),
            Tuple.of(1, restart),
            Tuple.of(3, lateOrder),
            Tuple.of(3, setRunning))
        .list()
        .ofMinSize(10)
        .ofMaxSize(40);
  }

  private interface Action {
    void run(Simulation simulation);
  }

  private static final class Simulation {
    private final SimulatedEngines engines;
    private OrdersHandler handler;
    private long term;
    private long leaseEndMs;
    private boolean renewsLease;
    private List<WantedModel> wanted = List.of(new WantedModel(A, 2), new WantedModel(B, 1));

    Simulation(long seed, boolean checksTokens) {
      engines = new SimulatedEngines(seed, ENGINES, checksTokens);
      newLeader();
    }

    SimulatedEngines.Engine engine(int index) {
      return List.copyOf(engines.byId.values()).get(index);
    }

    void want(int a, int b) {
      wanted = List.of(new WantedModel(A, a), new WantedModel(B, b));
      handler.handle(new OrdersMessage.Wanted(wanted), engines.nowMs);
    }

    /** Another instance takes over after the lease of the old leader has expired. */
    void newLeader() {
      engines.nowMs = Math.max(engines.nowMs, leaseEndMs);
      term++;
      renewsLease = true;
      OrdersOutlets outlets =
          new OrdersOutlets(order -> engines.offer(order, leaseEndMs), engines::read);
      handler = new OrdersHandler(BURST, INTERVAL_MS, outlets, engines.counters);
      handler.handle(new OrdersMessage.KnownEngines(engines.byId.keySet()), engines.nowMs);
      handler.handle(new OrdersMessage.Wanted(wanted), engines.nowMs);
      engines.loadTimes.clear();
      renew();
    }

    private void renew() {
      leaseEndMs = engines.nowMs + LEASE_MS;
      Optional<InstanceId> self = Optional.of(new InstanceId("r" + term));
      handler.handle(
          new OrdersMessage.LeaseChanged(
              new LeaderLease(GroupId.CONTROL, term, self, true, leaseEndMs)),
          engines.nowMs);
    }

    void advance(long ms) {
      for (long endMs = engines.nowMs + ms; engines.nowMs < endMs; engines.nowMs += STEP_MS) {
        if (renewsLease) {
          renew();
        }
        if (handler.nextTickMs() <= engines.nowMs) {
          handler.tick(engines.nowMs);
        }
        engines.step(handler);
      }
      checkRate();
    }

    private void checkRate() {
      for (int i = BURST; i < engines.loadTimes.size(); i++) {
        long spanMs = engines.loadTimes.get(i) - engines.loadTimes.get(i - BURST);
        assertTrue(spanMs >= INTERVAL_MS, "more loads than the weight store sustains");
      }
    }

    void runToSteadyState() {
      engines.faulty = false;
      engines.dropDelayed();
      engines.byId.values().forEach(engine -> engine.running = 0);
      newLeader();
      advance(120_000);
      Map<ModelId, Long> counts = engines.loadedCounts();
      for (WantedModel model : wanted) {
        long loaded = counts.getOrDefault(model.model(), 0L);
        assertTrue(loaded >= model.replicas(), () -> model + " has replicas: " + loaded);
      }
      long orders = engines.counters.count(OrdersEvent.ORDERED);
      advance(120_000);
      assertEquals(
          orders,
          engines.counters.count(OrdersEvent.ORDERED),
          "orders continued after all wanted models were loaded");
    }
  }
}
