package dev.caroblb.orders;

import dev.caroblb.core.ModelId;
import dev.caroblb.core.TargetId;
import java.util.Map;
import java.util.Optional;

/**
 * One round of planning: chooses the engines that load and unload models. An engine holds one
 * model; an engine with another model is freed, by an unload order, before it loads.
 */
final class OrderPlanner {
  /** A replica is unloaded after its model had a surplus for this long, to avoid flapping. */
  static final long SURPLUS_MS = 30_000;

  /** An engine whose state is older may have started generations since then. */
  private static final long MAX_STATE_AGE_MS = OrdersHandler.READ_BACK_MS + 1_000;

  private final Map<TargetId, EngineRecord> engines;
  private final ReplicaBalance balance;
  private final LoadBudget budget;
  private final OrdersCounters counters;
  private final OrderIssuer issuer;
  private final long nowMs;

  /** Engines with an outstanding unload; each is reserved for one missing replica. */
  private long beingFreed;

  OrderPlanner(
      Map<TargetId, EngineRecord> engines,
      ReplicaBalance balance,
      LoadBudget budget,
      OrdersCounters counters,
      OrderIssuer issuer,
      long nowMs) {
    this.engines = engines;
    this.balance = balance;
    this.budget = budget;
    this.counters = counters;
    this.issuer = issuer;
    this.nowMs = nowMs;
  }

  /** Issues the orders that are needed and that the engines and the weight store allow. */
  void plan() {
    balance.count(engines.values(), nowMs);
    beingFreed = engines.values().stream().filter(EngineRecord::beingFreed).count();
    unloadLateLoads();
    for (ModelId model : balance.underReplicated()) {
      while (balance.surplus(model) < 0 && loadOrFree(model)) {
        balance.add(model, 1);
      }
    }
  }

  /** Loads a model, reserves an engine being freed, or frees one; false if none is possible. */
  private boolean loadOrFree(ModelId model) {
    Optional<TargetId> empty = findEmpty();
    if (empty.isPresent()) {
      return load(empty.get(), model);
    }
    if (beingFreed > 0) {
      beingFreed--;
      return true;
    }
    return free();
  }

  private boolean load(TargetId engine, ModelId model) {
    if (!budget.tryAcquire(nowMs)) {
      counters.add(OrdersEvent.LOAD_DEFERRED);
      return false;
    }
    if (issuer.issue(engine, OrderKind.LOAD, model)) {
      return true;
    }
    budget.refund();
    return false;
  }

  private boolean free() {
    for (Map.Entry<TargetId, EngineRecord> entry : engines.entrySet()) {
      Optional<ModelId> surplus = idle(entry.getValue()).flatMap(this::surplusModel);
      if (surplus.isPresent()) {
        balance.add(surplus.get(), -1);
        return issuer.issue(entry.getKey(), OrderKind.UNLOAD, surplus.get());
      }
    }
    return false;
  }

  private Optional<ModelId> surplusModel(EngineState state) {
    return state.loaded().stream()
        .filter(model -> balance.surplusSince(model, nowMs - SURPLUS_MS))
        .findFirst();
  }

  private void unloadLateLoads() {
    for (Map.Entry<TargetId, EngineRecord> entry : engines.entrySet()) {
      EngineRecord engine = entry.getValue();
      Optional<ModelId> late =
          idle(engine).stream()
              .flatMap(state -> state.loaded().stream())
              .filter(model -> engine.loadedLate(model) && balance.surplusSince(model, nowMs))
              .findFirst();
      if (late.isPresent() && issuer.issue(entry.getKey(), OrderKind.UNLOAD, late.get())) {
        balance.add(late.get(), -1);
      }
    }
  }

  private Optional<TargetId> findEmpty() {
    return engines.entrySet().stream()
        .filter(entry -> idle(entry.getValue()).filter(s -> s.loaded().isEmpty()).isPresent())
        .map(Map.Entry::getKey)
        .findFirst();
  }

  /** State of an engine that may get an order: nothing runs, loads or is outstanding. */
  private Optional<EngineState> idle(EngineRecord engine) {
    return engine
        .state()
        .filter(state -> engine.updatedSince(nowMs - MAX_STATE_AGE_MS))
        .filter(state -> engine.outstanding().isEmpty())
        .filter(state -> state.running() == 0 && state.loading().isEmpty());
  }

  /** Passes an order to the sender; false when the sender's queue is full. */
  @FunctionalInterface
  interface OrderIssuer {
    boolean issue(TargetId engine, OrderKind kind, ModelId model);
  }
}
