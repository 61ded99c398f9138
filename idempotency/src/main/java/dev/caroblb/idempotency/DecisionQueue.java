package dev.caroblb.idempotency;

import dev.caroblb.core.Outlet;
import java.util.ArrayDeque;

/** Decisions for the streams duty; what its ring refuses is offered again, in order. */
final class DecisionQueue {
  private final Outlet<KeyDecision> outlet;
  private final ArrayDeque<KeyDecision> pending = new ArrayDeque<>();

  DecisionQueue(Outlet<KeyDecision> outlet) {
    this.outlet = outlet;
  }

  void tell(KeyDecision decision) {
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
