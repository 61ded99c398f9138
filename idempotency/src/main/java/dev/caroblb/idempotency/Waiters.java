package dev.caroblb.idempotency;

import dev.caroblb.core.InstanceId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** Reservation requests that wait because another attempt holds the key. */
final class Waiters {
  /** Above this limit, a request is answered at once with {@link KeyResult.Held}. */
  private static final int MAX_WAITERS = 20_000;

  record Waiter(InstanceId peer, KeyMessage.Reserve request, Attempt holder, long deadlineMs) {}

  private final Map<CallKey, List<Waiter>> byKey = new HashMap<>();
  private int size;

  /** Adds a waiter unless its attempt already waits; returns false if the limit is reached. */
  boolean add(Waiter waiter) {
    List<Waiter> waiting = byKey.computeIfAbsent(waiter.request().key(), k -> new ArrayList<>());
    for (Waiter known : waiting) {
      if (known.request().attempt().equals(waiter.request().attempt())) {
        return true;
      }
    }
    if (size >= MAX_WAITERS) {
      return false;
    }
    waiting.add(waiter);
    size++;
    return true;
  }

  /** Removes and returns the waiters of a key. */
  List<Waiter> take(CallKey key) {
    List<Waiter> taken = byKey.remove(key);
    if (taken == null) {
      return List.of();
    }
    size -= taken.size();
    return taken;
  }

  /** Removes and returns the waiters that match the condition. */
  List<Waiter> takeIf(Predicate<Waiter> condition) {
    List<Waiter> taken = new ArrayList<>();
    Iterator<List<Waiter>> lists = byKey.values().iterator();
    while (lists.hasNext()) {
      List<Waiter> waiting = lists.next();
      waiting.stream().filter(condition).forEach(taken::add);
      waiting.removeIf(condition);
      if (waiting.isEmpty()) {
        lists.remove();
      }
    }
    size -= taken.size();
    return taken;
  }
}
