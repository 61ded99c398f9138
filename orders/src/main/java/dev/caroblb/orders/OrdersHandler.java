package dev.caroblb.orders;

import dev.caroblb.core.DutyHandler;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.ModelId;
import dev.caroblb.core.TargetId;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * The orders duty. While this instance leads the control group, it compares the wanted models with
 * the state reported by the engines and orders the difference.
 */
public final class OrdersHandler implements DutyHandler<OrdersMessage> {
  /** Interval between read-backs of the engine states. */
  public static final long READ_BACK_MS = 2_000;

  /** Time after which an order that was not sent is dropped and its connection is closed. */
  public static final long ORDER_LIMIT_MS = 5_000;

  /** Lease of the control leader plus 1%, the bound on the difference of clock rates. */
  private static final long MAX_LEASE_MS = 1_010;

  /** Time after which a new leader no longer waits for engines that do not answer. */
  private static final long FIRST_READ_LIMIT_MS = 2 * READ_BACK_MS;

  private static final long PLAN_MS = 500;
  private static final Comparator<TargetId> BY_NAME = Comparator.comparing(TargetId::name);

  private final int loadBurst;
  private final long loadIntervalMs;
  private final OrdersOutlets outlets;
  private final OrdersCounters counters;
  private final ReplicaBalance balance = new ReplicaBalance();
  private final Map<TargetId, EngineRecord> engines = new TreeMap<>(BY_NAME);

  private Optional<LeaderLease> lease = Optional.empty();
  private LoadBudget budget;
  private long nowMs;
  private long readFromMs;
  private long nextReadMs;
  private long nextPlanMs;

  /**
   * Creates a handler that waits for leadership.
   *
   * @param loadBurst loads that the weight store sustains at once
   * @param loadIntervalMs time after which the weight store sustains one more load
   */
  public OrdersHandler(
      int loadBurst, long loadIntervalMs, OrdersOutlets outlets, OrdersCounters counters) {
    this.loadBurst = loadBurst;
    this.loadIntervalMs = loadIntervalMs;
    this.outlets = outlets;
    this.counters = counters;
    this.budget = new LoadBudget(loadBurst, loadIntervalMs, 0);
  }

  @Override
  public void handle(OrdersMessage message, long now) {
    nowMs = now;
    if (message instanceof OrdersMessage.Wanted wanted) {
      balance.setWanted(wanted.models());
    } else if (message instanceof OrdersMessage.KnownEngines knownEngines) {
      updateEngines(knownEngines.engines());
    } else if (message instanceof OrdersMessage.StateRead stateRead) {
      stateRead(stateRead.state());
    } else if (message instanceof OrdersMessage.OrderFinished orderFinished) {
      orderFinished(orderFinished);
    } else if (message instanceof OrdersMessage.LeaseChanged leaseChanged) {
      leaseChanged(leaseChanged.lease());
    }
  }

  private void updateEngines(Set<TargetId> known) {
    engines.keySet().retainAll(known);
    known.forEach(engine -> engines.computeIfAbsent(engine, id -> new EngineRecord(counters)));
  }

  private void stateRead(EngineState state) {
    Optional<EngineRecord> engine = Optional.ofNullable(engines.get(state.engine()));
    if (engine.isEmpty() || !isLeader() || nowMs < readFromMs) {
      return;
    }
    if (state.fencing() > lease.orElseThrow().term()) {
      counters.add(OrdersEvent.NEWER_LEADER_SEEN);
      return;
    }
    engine.get().update(state, nowMs);
  }

  private void orderFinished(OrdersMessage.OrderFinished message) {
    if (message.outcome() == OrderOutcome.REFUSED_TOKEN) {
      counters.add(OrdersEvent.TOKEN_REFUSED);
    }
    Optional.ofNullable(engines.get(message.order().target()))
        .ifPresent(engine -> engine.finished(message.order(), message.outcome()));
  }

  private void leaseChanged(LeaderLease changed) {
    if (!changed.group().equals(GroupId.CONTROL)) {
      return;
    }
    boolean sameLeadership =
        changed.local() && lease.filter(old -> old.local() && sameTerm(old, changed)).isPresent();
    lease = Optional.of(changed);
    if (sameLeadership || !changed.local()) {
      return;
    }
    // The predecessor may send orders until its lease and the order limit have passed.
    readFromMs = nowMs + MAX_LEASE_MS + ORDER_LIMIT_MS;
    nextReadMs = readFromMs;
    nextPlanMs = readFromMs;
    budget = new LoadBudget(loadBurst, loadIntervalMs, readFromMs);
    engines.replaceAll((id, engine) -> new EngineRecord(counters));
  }

  private static boolean sameTerm(LeaderLease old, LeaderLease changed) {
    return old.term() == changed.term();
  }

  private boolean isLeader() {
    return lease.filter(held -> held.heldAt(nowMs)).isPresent();
  }

  @Override
  public long nextTickMs() {
    boolean local = lease.filter(LeaderLease::local).isPresent();
    return local ? Math.min(nextReadMs, nextPlanMs) : Long.MAX_VALUE;
  }

  @Override
  public void tick(long now) {
    nowMs = now;
    if (nowMs >= nextReadMs) {
      nextReadMs = nowMs + READ_BACK_MS;
      if (isLeader()) {
        // Best effort: a request that is not accepted is repeated in the next round.
        engines.keySet().forEach(engine -> outlets.readBacks().offer(new ReadBack(engine)));
      }
    }
    if (nowMs >= nextPlanMs) {
      nextPlanMs = nowMs + PLAN_MS;
      if (isLeader() && stateKnown()) {
        new OrderPlanner(engines, balance, budget, counters, this::issue, nowMs).plan();
      }
    }
  }

  /** Engines that do not answer block the others for at most two read-back intervals. */
  private boolean stateKnown() {
    boolean allRead = engines.values().stream().allMatch(engine -> engine.updatedSince(readFromMs));
    return allRead || nowMs >= readFromMs + FIRST_READ_LIMIT_MS;
  }

  private boolean issue(TargetId engine, OrderKind kind, ModelId model) {
    LeaderLease currentLease = lease.orElseThrow();
    long sendBeforeMs = Math.min(nowMs + ORDER_LIMIT_MS, currentLease.validUntilMs());
    EngineOrder order = new EngineOrder(engine, currentLease.term(), kind, model, sendBeforeMs);
    if (!outlets.orders().offer(order)) {
      counters.add(OrdersEvent.ORDER_DELAYED);
      return false;
    }
    counters.add(OrdersEvent.ORDERED);
    engines.get(engine).ordered(order);
    return true;
  }
}
