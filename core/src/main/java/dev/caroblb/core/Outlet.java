package dev.caroblb.core;

/**
 * Destination of messages that a duty emits. The daemon connects it to the ring of another duty, so
 * that duties never call each other.
 */
@FunctionalInterface
public interface Outlet<T> {
  /** Hands over a message without waiting; false when the destination has no room for it. */
  boolean offer(T message);
}
