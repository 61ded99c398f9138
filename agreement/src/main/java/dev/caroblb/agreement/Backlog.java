package dev.caroblb.agreement;

import dev.caroblb.core.Outlet;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.Set;

/** Keeps what full rings refused, in order, until it is offered again. */
final class Backlog<T> implements Outlet<T> {
  private final Deque<Refused<T>> waiting = new ArrayDeque<>();
  private final Outlet<T> destination;

  /** A backlog with one destination, to which the order is kept. */
  Backlog(Outlet<T> destination) {
    this.destination = destination;
  }

  @Override
  public boolean offer(T message) {
    send(destination, message);
    return true;
  }

  /** Offers a message to a destination of its own, after those that already wait. */
  void send(Outlet<T> target, T message) {
    if (waiting.isEmpty() && target.offer(message)) {
      return;
    }
    waiting.add(new Refused<>(target, message));
  }

  /** Offers waiting messages again; a destination that refuses one gets no later one before it. */
  void retry() {
    Set<Outlet<T>> full = Collections.newSetFromMap(new IdentityHashMap<>());
    int tries = waiting.size();
    for (int i = 0; i < tries; i++) {
      Refused<T> next = waiting.remove();
      if (!full.contains(next.target()) && next.target().offer(next.message())) {
        continue;
      }
      full.add(next.target());
      waiting.add(next);
    }
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  private record Refused<T>(Outlet<T> target, T message) {}
}
