package dev.caroblb.idempotency;

import dev.caroblb.core.Outlet;
import java.util.ArrayDeque;

/**
 * Queues decisions for the streams duty. While the ring of that duty is full, decisions stay in
 * this queue and are offered again in order.
 */
final class DecisionQueue {
  private final Outlet<KeyDecision> outlet;
  private final ArrayDeque<KeyDecision> pending = new ArrayDeque<>();

  DecisionQueue(Outlet<KeyDecision> outlet) {
    this.outlet = outlet;
  }

  void enqueue(KeyDecision decision) {
    pending.add(decision);
    flush();
  }

  void flush() {
    while (!pending.isEmpty() && outlet.offer(pending.peek())) {
      pending.remove();
    }
  }

  int size() {
    return pending.size();
  }
}
