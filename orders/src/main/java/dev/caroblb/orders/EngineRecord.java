package dev.caroblb.orders;

import dev.caroblb.core.ModelId;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** Last reported state of one engine and the outstanding order of this leader to it. */
final class EngineRecord {
  private final OrdersCounters counters;
  private Optional<EngineState> state = Optional.empty();
  private Optional<EngineOrder> outstanding = Optional.empty();

  /** Models loaded by a late order; they are unloaded without delay if they are not needed. */
  private final Set<ModelId> lateLoads = new HashSet<>();

  private long updatedMs = Long.MIN_VALUE;

  EngineRecord(OrdersCounters counters) {
    this.counters = counters;
  }

  Optional<EngineState> state() {
    return state;
  }

  Optional<EngineOrder> outstanding() {
    return outstanding;
  }

  boolean beingFreed() {
    return outstanding.filter(order -> order.kind() == OrderKind.UNLOAD).isPresent();
  }

  boolean updatedSince(long sinceMs) {
    return state.isPresent() && updatedMs >= sinceMs;
  }

  boolean loadedLate(ModelId model) {
    return lateLoads.contains(model);
  }

  void ordered(EngineOrder order) {
    outstanding = Optional.of(order);
  }

  /** Processes the outcome of an order. */
  void finished(EngineOrder order, OrderOutcome outcome) {
    boolean withoutEffect =
        outcome == OrderOutcome.NOT_SENT || outcome == OrderOutcome.REFUSED_TOKEN;
    if (withoutEffect && outstanding.filter(order::equals).isPresent()) {
      outstanding = Optional.empty();
    }
  }

  /** Compares a reported state with the previous one and with the outstanding order. */
  void update(EngineState next, long nowMs) {
    boolean sameProcess =
        state.filter(old -> old.incarnation().equals(next.incarnation())).isPresent();
    if (sameProcess) {
      findLateOrders(state.orElseThrow(), next.present());
    }
    lateLoads.retainAll(next.present());
    if (outstanding.isPresent() && tookEffect(outstanding.get(), next)) {
      outstanding = Optional.empty();
    } else if (outstanding.isPresent() && isLost(outstanding.get(), nowMs)) {
      counters.add(OrdersEvent.ORDER_LOST);
      outstanding = Optional.empty();
    }
    state = Optional.of(next);
    updatedMs = nowMs;
  }

  /**
   * Counts the changes that the outstanding order does not explain. A load in progress disappears
   * when it fails, but a loaded model only by an order.
   */
  private void findLateOrders(EngineState before, Set<ModelId> after) {
    for (ModelId model : after) {
      if (!before.present().contains(model) && !matchesOutstanding(OrderKind.LOAD, model)) {
        counters.add(OrdersEvent.LATE_ORDER);
        lateLoads.add(model);
      }
    }
    for (ModelId model : before.loaded()) {
      if (!after.contains(model) && !matchesOutstanding(OrderKind.UNLOAD, model)) {
        counters.add(OrdersEvent.LATE_ORDER);
      }
    }
  }

  private boolean matchesOutstanding(OrderKind kind, ModelId model) {
    return outstanding
        .filter(order -> order.kind() == kind && order.model().equals(model))
        .isPresent();
  }

  private static boolean tookEffect(EngineOrder order, EngineState next) {
    return next.present().contains(order.model()) == (order.kind() == OrderKind.LOAD);
  }

  /** Allows one more interval, since a read-back may be answered before the order arrives. */
  private static boolean isLost(EngineOrder order, long nowMs) {
    return nowMs >= order.sendBeforeMs() + OrdersHandler.READ_BACK_MS;
  }
}
