package dev.caroblb.agreement;

import dev.caroblb.core.Outlet;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.Set;

/** Queues messages that full rings refused, and offers them again in order per destination. */
final class RetryQueue<T> implements Outlet<T> {
  private final Deque<Refused<T>> waiting = new ArrayDeque<>();
  private final Outlet<T> destination;

  /** Creates a queue with a default destination. */
  RetryQueue(Outlet<T> destination) {
    this.destination = destination;
  }

  @Override
  public boolean offer(T message) {
    send(destination, message);
    return true;
  }

  /** Offers a message to the given outlet, after all messages that already wait. */
  void send(Outlet<T> outlet, T message) {
    if (waiting.isEmpty() && outlet.offer(message)) {
      return;
    }
    waiting.add(new Refused<>(outlet, message));
  }

  /**
   * Offers waiting messages again. Once a destination refuses one, its later messages are not
   * offered, so that their order is kept.
   */
  void retry() {
    Set<Outlet<T>> full = Collections.newSetFromMap(new IdentityHashMap<>());
    int tries = waiting.size();
    for (int i = 0; i < tries; i++) {
      Refused<T> next = waiting.remove();
      if (!full.contains(next.destination()) && next.destination().offer(next.message())) {
        continue;
      }
      full.add(next.destination());
      waiting.add(next);
    }
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  private record Refused<T>(Outlet<T> destination, T message) {}
}
