package dev.caroblb.forwarding;

import dev.caroblb.targets.Target;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;

/** The running requests of this instance and their timers. */
final class ExchangeTable {
  private record Timer(long dueMs, long call) {}

  private final Map<Long, Exchange> exchanges = new HashMap<>();
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparingLong(Timer::dueMs));
  private final Map<Exchange, Long> heldBytes = new HashMap<>();
  private long totalHeldBytes;
  private volatile int size;

  void add(Exchange exchange) {
    exchanges.put(exchange.call().id(), exchange);
    size = exchanges.size();
    wakeAt(exchange, exchange.deadlineMs());
  }

  void remove(Exchange exchange) {
    exchanges.remove(exchange.call().id());
    size = exchanges.size();
    recount(exchange);
  }

  /** Updates the memory that the response of an exchange uses. */
  void recount(Exchange exchange) {
    boolean running = exchanges.get(exchange.call().id()) == exchange;
    long now = running ? exchange.heldBytes() : 0;
    Long before = now > 0 ? heldBytes.put(exchange, now) : heldBytes.remove(exchange);
    totalHeldBytes += now - (before == null ? 0 : before);
  }

  /** Memory in bytes that the responses of all exchanges use. */
  long heldBytes() {
    return totalHeldBytes;
  }

  /** The exchange whose response uses most memory. */
  Optional<Exchange> largest() {
    return heldBytes.entrySet().stream().max(Map.Entry.comparingByValue()).map(Map.Entry::getKey);
  }

  Optional<Exchange> find(long call) {
    return Optional.ofNullable(exchanges.get(call));
  }

  /** Finds an exchange by call and attempt; empty if that attempt is not the current one. */
  Optional<Exchange> find(long call, int attempt) {
    return find(call).filter(exchange -> exchange.attempt() == attempt);
  }

  /** Returns a copy, so that exchanges may be removed during iteration. */
  List<Exchange> all() {
    return List.copyOf(exchanges.values());
  }

  /** Number of exchanges; may be read from any thread. */
  int size() {
    return size;
  }

  /** Checks the exchanges of a target for silence, for the first time at the given time. */
  void watchSilence(Target target, long dueMs) {
    for (Exchange exchange : exchanges.values()) {
      if (exchange.target().filter(current -> current == target).isPresent()) {
        exchange.watchSilence();
        wakeAt(exchange, dueMs);
      }
    }
  }

  void wakeAt(Exchange exchange, long dueMs) {
    timers.add(new Timer(dueMs, exchange.call().id()));
  }

  /** Removes all due timers and returns their exchanges, each of them once. */
  Set<Exchange> takeDue(long nowMs) {
    Set<Exchange> due = new LinkedHashSet<>();
    while (!timers.isEmpty() && timers.peek().dueMs() <= nowMs) {
      find(timers.poll().call()).ifPresent(due::add);
    }
    return due;
  }

  long nextDueMs() {
    Timer next = timers.peek();
    return next == null ? Long.MAX_VALUE : next.dueMs();
  }
}
