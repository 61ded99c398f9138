package dev.caroblb.daemon;

import dev.caroblb.core.Outlet;

/**
 * Outlet whose destination is set later, because duties refer to each other. It rejects messages
 * until then.
 */
final class LateBoundOutlet<T> implements Outlet<T> {
  private volatile Outlet<T> destination = message -> false;

  void bind(Outlet<T> destination) {
    this.destination = destination;
  }

  @Override
  public boolean offer(T message) {
    return destination.offer(message);
  }
}
