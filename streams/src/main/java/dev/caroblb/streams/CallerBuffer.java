package dev.caroblb.streams;

import dev.caroblb.core.Outlet;
import java.util.ArrayDeque;

/**
 * Events on their way to a caller. It holds what the caller has no room for; while it holds
 * anything, the engine is not asked for more, so that its size stays within one batch of a link.
 */
final class CallerBuffer {
  private final ArrayDeque<CallerEvent> waiting = new ArrayDeque<>();
  private Outlet<CallerEvent> caller;
  private long lastProgressMs;

  CallerBuffer(Outlet<CallerEvent> caller, long nowMs) {
    this.caller = caller;
    this.lastProgressMs = nowMs;
  }

  /** Adds an event; the caller has the whole stall limit to take the first one that waits. */
  void add(CallerEvent event, long nowMs) {
    if (waiting.isEmpty()) {
      lastProgressMs = nowMs;
    }
    waiting.addLast(event);
  }

  /** Hands over as much as the caller takes; true when nothing waits any more. */
  boolean flush(long nowMs) {
    while (!waiting.isEmpty()) {
      if (!caller.offer(waiting.peekFirst())) {
        return false;
      }
      waiting.removeFirst();
      lastProgressMs = nowMs;
    }
    lastProgressMs = nowMs;
    return true;
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  /** Drops what waits and everything that is added later. */
  void detach() {
    waiting.clear();
    caller = event -> true;
  }

  /** Drops the tokens that wait, so that a final event is the next one; returns their number. */
  int dropTokens() {
    int dropped = waiting.size();
    waiting.clear();
    return dropped;
  }

  /** Time since the caller last took everything or something. */
  long stalledMs(long nowMs) {
    return waiting.isEmpty() ? 0 : nowMs - lastProgressMs;
  }
}
