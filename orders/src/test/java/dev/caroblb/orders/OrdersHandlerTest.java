package dev.caroblb.orders;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.ModelId;
import dev.caroblb.core.TargetId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OrdersHandlerTest {
  private static final ModelId A = ModelId.of("a");
  private static final ModelId B = ModelId.of("b");
  private static final TargetId E0 = new TargetId("e0");
  private static final TargetId E1 = new TargetId("e1");
  // Lease of 1,000 ms plus 1%, and the order limit of 5,000 ms.
  private static final long READ_FROM_MS = 6_010;
  private static final long LEASE_END_MS = 10_000_000;

  private final List<EngineOrder> orders = new ArrayList<>();
  private final List<ReadBack> reads = new ArrayList<>();
  private final OrdersCounters counters = new OrdersCounters();
  private final OrdersHandler handler =
      new OrdersHandler(1, 100, new OrdersOutlets(orders::add, reads::add), counters);

  private void lead(int wantedA, int wantedB, TargetId... engines) {
    handler.handle(new OrdersMessage.KnownEngines(Set.of(engines)), 0);
    want(wantedA, wantedB, 0);
    handler.handle(
        new OrdersMessage.LeaseChanged(
            new LeaderLease(
                GroupId.CONTROL, 3, Optional.of(new InstanceId("r0")), true, LEASE_END_MS)),
        0);
  }

  private void want(int wantedA, int wantedB, long nowMs) {
    handler.handle(
        new OrdersMessage.Wanted(List.of(new WantedModel(A, wantedA), new WantedModel(B, wantedB))),
        nowMs);
  }

  private void read(TargetId engine, Set<ModelId> loaded, int running, long nowMs) {
    handler.handle(
        new OrdersMessage.StateRead(new EngineState(engine, "p", loaded, Set.of(), running, 0)),
        nowMs);
    handler.tick(nowMs);
  }

  @Nested
  class NewLeader {
    /** Guards against orders that overlap with those of the predecessor. */
    @Test
    void waitsAndReadsBeforeOrdering() {
      lead(1, 0, E0);
      handler.tick(READ_FROM_MS - 1);
      read(E0, Set.of(), 0, READ_FROM_MS - 1);
      assertEquals(List.of(), reads);
      assertEquals(List.of(), orders);
      handler.tick(READ_FROM_MS);
      assertEquals(List.of(new ReadBack(E0)), reads);
      assertEquals(List.of(), orders);
      read(E0, Set.of(), 0, READ_FROM_MS + 600);
      assertEquals(
          new EngineOrder(E0, 3, OrderKind.LOAD, A, READ_FROM_MS + 600 + 5_000), orders.get(0));
    }
  }

  @Nested
  class FirstReadBack {
    /** Guards against loading models that engines without a read-back already hold. */
    @Test
    void coversAllEnginesOrTimesOut() {
      lead(1, 0, E0, E1);
      read(E0, Set.of(), 0, READ_FROM_MS + 3_000);
      assertEquals(List.of(), orders);
      read(E0, Set.of(), 0, READ_FROM_MS + 4_000);
      assertEquals(1, orders.size());
    }
  }

  @Nested
  class LateOrders {
    /** Guards against a late order that is neither noticed nor undone. */
    @Test
    void areCountedAndCorrected() {
      lead(0, 0, E0);
      read(E0, Set.of(), 0, READ_FROM_MS);
      read(E0, Set.of(B), 0, READ_FROM_MS + 2_000);
      assertEquals(1, counters.count(OrdersEvent.LATE_ORDER));
      assertEquals(OrderKind.UNLOAD, orders.get(0).kind());
    }

    /** Guards against counting an order of this leader as late when it takes effect. */
    @Test
    void excludeOutstandingOrders() {
      lead(1, 0, E0);
      read(E0, Set.of(), 0, READ_FROM_MS + 1_000);
      read(E0, Set.of(A), 0, READ_FROM_MS + 2_000);
      assertEquals(0, counters.count(OrdersEvent.LATE_ORDER));
    }

    /** Guards against a late unload that leaves a model short of replicas. */
    @Test
    void lateUnloadIsFollowedByALoad() {
      lead(1, 0, E0);
      read(E0, Set.of(A), 0, READ_FROM_MS);
      read(E0, Set.of(), 0, READ_FROM_MS + 2_000);
      assertEquals(1, counters.count(OrdersEvent.LATE_ORDER));
      assertEquals(OrderKind.LOAD, orders.get(0).kind());
    }
  }

  @Nested
  class Unloads {
    /** Guards against an unload that interrupts running generations. */
    @Test
    void skipEnginesWithRunningGenerations() {
      lead(0, 1, E0, E1);
      for (long nowMs = READ_FROM_MS; nowMs < READ_FROM_MS + 60_000; nowMs += 2_000) {
        read(E1, Set.of(A), 1, nowMs);
        read(E0, Set.of(A), 1, nowMs);
      }
      assertEquals(List.of(), orders);
    }

    /** Guards against reloading an engine each time that the wanted models oscillate. */
    @Test
    void waitUntilASurplusLasts() {
      lead(1, 0, E0);
      for (int i = 0; i < 20; i++) {
        want(1 - i % 2, i % 2, READ_FROM_MS + i * 20_000L);
        for (int j = 0; j < 10; j++) {
          read(E0, Set.of(A), 0, READ_FROM_MS + i * 20_000L + j * 2_000L);
        }
      }
      assertEquals(List.of(), orders);
      for (long nowMs = READ_FROM_MS + 400_000; nowMs < READ_FROM_MS + 432_000; nowMs += 2_000) {
        read(E0, Set.of(A), 0, nowMs);
      }
      assertEquals(OrderKind.UNLOAD, orders.get(0).kind());
    }

    /** Guards against freeing two engines for one replica. */
    @Test
    void freeOneEngineForOneReplica() {
      lead(0, 1, E0, E1);
      for (long nowMs = READ_FROM_MS; nowMs < READ_FROM_MS + 34_000; nowMs += 1_000) {
        read(E1, Set.of(A), 0, nowMs);
        read(E0, Set.of(A), 0, nowMs);
      }
      assertEquals(1, orders.size());
    }
  }

  @Nested
  class Outcomes {
    /** Guards against a lost order that is never repeated. */
    @Test
    void unknownOutcomeIsResolvedByALaterReadBack() {
      lead(1, 0, E0);
      read(E0, Set.of(), 0, READ_FROM_MS + 1_000);
      handler.handle(
          new OrdersMessage.OrderFinished(orders.get(0), OrderOutcome.UNKNOWN),
          READ_FROM_MS + 6_000);
      read(E0, Set.of(), 0, READ_FROM_MS + 6_000);
      assertEquals(1, orders.size());
      read(E0, Set.of(), 0, READ_FROM_MS + 8_000);
      assertEquals(2, orders.size());
      assertEquals(1, counters.count(OrdersEvent.ORDER_LOST));
    }

    /** Guards against a replaced leader that keeps planning on an outdated state. */
    @Test
    void newerTokenStopsOrders() {
      lead(1, 0, E0);
      handler.handle(
          new OrdersMessage.StateRead(new EngineState(E0, "p", Set.of(), Set.of(), 0, 4)),
          READ_FROM_MS);
      handler.tick(READ_FROM_MS + 5_000);
      assertEquals(List.of(), orders);
      assertTrue(counters.count(OrdersEvent.NEWER_LEADER_SEEN) > 0);
    }
  }
}
