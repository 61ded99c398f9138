package dev.caroblb.orders;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.ModelId;
import dev.caroblb.core.TargetId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

/** Simulates engines and their connections, which can delay orders beyond their time limit. */
final class SimulatedEngines {
  private static final long LOAD_MS = 3_000;

  final Map<TargetId, Engine> byId = new LinkedHashMap<>();
  final OrdersCounters counters = new OrdersCounters();
  final List<Long> loadTimes = new ArrayList<>();
  private final Random random;
  private final Deque<EngineOrder> pending = new ArrayDeque<>();
  private final Deque<TargetId> reads = new ArrayDeque<>();
  private final List<EngineOrder> delayed = new ArrayList<>();
  boolean faulty = true;
  long nowMs;

  SimulatedEngines(long seed, int size, boolean checksTokens) {
    this.random = new Random(seed);
    for (int i = 0; i < size; i++) {
      TargetId id = new TargetId("engine" + i);
      byId.put(id, new Engine(id, checksTokens));
    }
  }

  /** Checks an order of the leader and accepts it for delivery. */
  boolean offer(EngineOrder order, long leaseEndMs) {
    Engine engine = byId.get(order.target());
    assertTrue(nowMs < leaseEndMs, "order issued without a lease");
    assertTrue(order.sendBeforeMs() <= leaseEndMs, "order outlives the lease");
    assertEquals(0, engine.lastReadRunning, "order to an engine with running generations");
    assertTrue(
        pending.stream().noneMatch(o -> o.target().equals(order.target())),
        "two orders at once to an engine");
    if (order.kind() == OrderKind.LOAD) {
      loadTimes.add(nowMs);
    }
    // A leader cannot know of a late order before its next read-back.
    if (order.kind() == OrderKind.LOAD && !engine.changedSinceRead) {
      assertTrue(!engine.present().contains(order.model()), "load of a model that is present");
      assertTrue(engine.loading.isEmpty(), "two loads at once on an engine");
    }
    if (faulty && random.nextInt(10) == 0) {
      delayed.add(order);
    } else {
      pending.add(order);
    }
    return true;
  }

  boolean read(ReadBack request) {
    return !(faulty && random.nextInt(10) == 0) && reads.add(request.engine());
  }

  /** Delivers pending orders and read-backs, and the answers of the engines to the handler. */
  void step(OrdersHandler handler) {
    byId.values().forEach(engine -> engine.finishLoads(nowMs));
    while (!pending.isEmpty()) {
      EngineOrder order = pending.poll();
      boolean accepted = byId.get(order.target()).accept(order, nowMs);
      OrderOutcome outcome = accepted ? OrderOutcome.ACCEPTED : OrderOutcome.REFUSED_TOKEN;
      handler.handle(new OrdersMessage.OrderFinished(order, outcome), nowMs);
    }
    while (!reads.isEmpty()) {
      handler.handle(new OrdersMessage.StateRead(byId.get(reads.poll()).report()), nowMs);
    }
  }

  /** Delivers one delayed order, possibly after its time limit or the end of its leader. */
  void deliverDelayed() {
    if (!delayed.isEmpty()) {
      EngineOrder order = delayed.remove(random.nextInt(delayed.size()));
      byId.get(order.target()).changedSinceRead = true;
      boolean unused = byId.get(order.target()).accept(order, nowMs);
    }
  }

  void dropDelayed() {
    delayed.clear();
  }

  Map<ModelId, Long> loadedCounts() {
    return byId.values().stream()
        .flatMap(engine -> engine.loaded.stream())
        .collect(Collectors.groupingBy(model -> model, Collectors.counting()));
  }

  static final class Engine {
    final TargetId id;
    final Set<ModelId> loaded = new LinkedHashSet<>();
    private final boolean checksTokens;
    private final Map<ModelId, Long> loading = new LinkedHashMap<>();
    private int restarts;
    private long accepted;
    int running;
    private int lastReadRunning;
    private boolean changedSinceRead;

    Engine(TargetId id, boolean checksTokens) {
      this.id = id;
      this.checksTokens = checksTokens;
    }

    Set<ModelId> present() {
      Set<ModelId> present = new LinkedHashSet<>(loaded);
      present.addAll(loading.keySet());
      return present;
    }

    private boolean accept(EngineOrder order, long nowMs) {
      if (checksTokens && order.fencing() < accepted) {
        return false;
      }
      accepted = checksTokens ? order.fencing() : 0;
      if (order.kind() == OrderKind.UNLOAD) {
        loaded.remove(order.model());
      } else if (!loaded.contains(order.model())) {
        loading.putIfAbsent(order.model(), nowMs);
      }
      return true;
    }

    private void finishLoads(long nowMs) {
      for (ModelId model : List.copyOf(loading.keySet())) {
        if (nowMs >= loading.get(model) + LOAD_MS) {
          loading.remove(model);
          loaded.add(model);
        }
      }
    }

    void restart() {
      restarts++;
      loaded.clear();
      loading.clear();
      running = 0;
    }

    private EngineState report() {
      lastReadRunning = running;
      changedSinceRead = false;
      return new EngineState(id, "p" + restarts, loaded, loading.keySet(), running, accepted);
    }
  }
}
