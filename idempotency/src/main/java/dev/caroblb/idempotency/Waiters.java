package dev.caroblb.idempotency;

import dev.caroblb.core.InstanceId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** Resends of keys whose call is being run by another attempt. */
final class Waiters {
  /** Above it a resend is told at once that the outcome is unknown. */
  private static final int MAX_WAITERS = 20_000;

  record Waiter(InstanceId peer, KeyMessage.Reserve request, Attempt holder, long endsAtMs) {}

  private final Map<CallKey, List<Waiter>> byKey = new HashMap<>();
  private int size;

  /** Adds a waiter unless its attempt waits already; false when there is no room. */
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

  List<Waiter> take(CallKey key) {
    List<Waiter> taken = byKey.remove(key);
    if (taken == null) {
      return List.of();
    }
    size -= taken.size();
    return taken;
  }

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
