package dev.caroblb.bench;

import java.util.PriorityQueue;

/** Event queue with the simulated clock; simultaneous events run in order of insertion. */
final class EventQueue {
  private record Event(long atUs, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atUs, other.atUs);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long inserted;
  private long nowUs;

  void schedule(long atUs, Runnable action) {
    events.add(new Event(Math.max(atUs, nowUs), inserted++, action));
  }

  /** Advances the clock to the next event and runs it; false when there is none. */
  boolean runNext() {
    Event next = events.poll();
    if (next == null) {
      return false;
    }
    nowUs = next.atUs();
    next.action().run();
    return true;
  }

  long nowUs() {
    return nowUs;
  }

  long nowMs() {
    return nowUs / 1_000;
  }
}
