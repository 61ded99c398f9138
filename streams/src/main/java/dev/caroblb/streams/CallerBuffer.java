package dev.caroblb.streams;

import dev.caroblb.core.Outlet;
import java.util.ArrayDeque;

/**
 * Events on their way to a caller. It holds what the caller has no room for; while it holds
 * anything, the engine is not asked for more, so that its size stays within one batch of a link.
 */
final class CallerBuffer {
  private final ArrayDeque<CallerEvent> pending = new ArrayDeque<>();
  private Outlet<CallerEvent> caller;
  private long lastProgressMs;

  CallerBuffer(Outlet<CallerEvent> caller, long nowMs) {
    this.caller = caller;
    this.lastProgressMs = nowMs;
  }

  /** Adds an event; the caller has the whole stall limit to take the first one that waits. */
  void add(CallerEvent event, long nowMs) {
    if (pending.isEmpty()) {
      lastProgressMs = nowMs;
    }
    pending.addLast(event);
  }

  /** Hands over as much as the caller takes; true when nothing waits any more. */
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

  /** Drops what waits and everything that is added later. */
  void detach() {
    pending.clear();
    caller = event -> true;
  }

  /** Drops the tokens that wait, so that a final event is the next one; returns their number. */
  int dropTokens() {
    int dropped = pending.size();
    pending.clear();
    return dropped;
  }

  /** Time since the caller last took everything or something. */
  long stallMs(long nowMs) {
    return pending.isEmpty() ? 0 : nowMs - lastProgressMs;
  }
}
