package dev.caroblb.core;

/**
 * Destination for the messages that a duty sends. The daemon connects it to the queue of another
 * duty, so that duties never call each other.
 */
@FunctionalInterface
public interface Outlet<T> {
  /** Sends a message without blocking; returns false if the destination is full. */
  boolean offer(T message);
}
