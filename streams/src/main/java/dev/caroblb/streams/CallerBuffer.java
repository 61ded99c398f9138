package dev.caroblb.streams;

import dev.caroblb.core.Outlet;
import java.util.ArrayDeque;

/**
 * Buffer of the events that the caller has not accepted yet. The engine is not asked for more while
 * the buffer holds events, so its size stays within one batch of a link.
 */
final class CallerBuffer {
  private final ArrayDeque<CallerEvent> pending = new ArrayDeque<>();
  private Outlet<CallerEvent> caller;
  private long lastProgressMs;

  CallerBuffer(Outlet<CallerEvent> caller, long nowMs) {
    this.caller = caller;
    this.lastProgressMs = nowMs;
  }

  /** Adds an event; the stall time is measured from the first event that waits. */
  void add(CallerEvent event, long nowMs) {
    if (pending.isEmpty()) {
      lastProgressMs = nowMs;
    }
    pending.addLast(event);
  }

  /** Delivers as many events as the caller accepts; true when none are left. */
  boolean flush(long nowMs) {
    while (!pending.isEmpty()) {
      if (!caller.offer(pending.peekFirst())) {
        return false;
      }
      pending.removeFirst();
      lastProgressMs = nowMs;
    }
    lastProgressMs = nowMs;
    return true;
  }

  boolean isEmpty() {
    return pending.isEmpty();
  }

  /** Discards the buffered events and all later ones. */
  void detach() {
    pending.clear();
    caller = event -> true;
  }

  /** Discards the buffered tokens, so that the final event is next; returns their number. */
  int dropTokens() {
    int dropped = pending.size();
    pending.clear();
    return dropped;
  }

  /** Time for which events have waited without the caller accepting one. */
  long stallMs(long nowMs) {
    return pending.isEmpty() ? 0 : nowMs - lastProgressMs;
  }
}
