package dev.caroblb.orders;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counters of the orders duty, readable from any thread. */
public final class OrdersCounters {
  private final Map<OrdersEvent, LongAdder> counts = new EnumMap<>(OrdersEvent.class);

  public OrdersCounters() {
    for (OrdersEvent event : OrdersEvent.values()) {
      counts.put(event, new LongAdder());
    }
  }

  /** How often an event occurred. */
  public long count(OrdersEvent event) {
    return counts.get(event).sum();
  }

  void add(OrdersEvent event) {
    counts.get(event).increment();
  }
}
