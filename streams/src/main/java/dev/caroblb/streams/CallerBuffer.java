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

  void add(CallerEvent event) {
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

  /** Drops what waits, so that a final event is the next one. */
  void dropWaiting() {
    waiting.clear();
  }

  /** Time since the caller last took everything or something. */
  long stalledMs(long nowMs) {
    return waiting.isEmpty() ? 0 : nowMs - lastProgressMs;
  }
}
