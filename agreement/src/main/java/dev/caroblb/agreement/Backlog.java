package dev.caroblb.agreement;

import dev.caroblb.core.Outlet;
import java.util.ArrayDeque;
import java.util.Deque;

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

  /** Offers waiting messages again; each is tried once. */
  void retry() {
    int tries = waiting.size();
    for (int i = 0; i < tries; i++) {
      Refused<T> first = waiting.remove();
      if (first.target().offer(first.message())) {
        continue;
      }
      waiting.addFirst(first);
      return;
    }
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  private record Refused<T>(Outlet<T> target, T message) {}
}
