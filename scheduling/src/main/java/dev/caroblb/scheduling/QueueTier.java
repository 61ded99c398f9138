package dev.caroblb.scheduling;

import java.util.Comparator;
import java.util.Iterator;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The queued requests of a service that can still meet their objective, or those that cannot, by
 * priority, start tag and arrival. Adding and removing costs O(log n).
 */
final class QueueTier {
  static final Comparator<QueuedRequest> ORDER =
      Comparator.comparingInt((QueuedRequest request) -> request.need().priority())
          .thenComparingDouble(QueuedRequest::startTag)
          .thenComparingLong(QueuedRequest::firstArrivalMs)
          .thenComparingLong(QueuedRequest::sequence);

  /** Tokens and number of some requests. */
  record Sum(double tokens, long requests) {
    static final Sum NONE = new Sum(0, 0);

    Sum plus(Sum other) {
      return new Sum(tokens + other.tokens, requests + other.requests);
    }

    Sum plus(QueuedRequest request, int sign) {
      return new Sum(tokens + sign * (double) request.need().tokens(), requests + sign);
    }
  }

  private final TreeSet<QueuedRequest> requests = new TreeSet<>(ORDER);
  private final TreeMap<Integer, Sum> byPriority = new TreeMap<>();

  void add(QueuedRequest request) {
    if (requests.add(request)) {
      count(request, 1);
    }
  }

  boolean remove(QueuedRequest request) {
    boolean removed = requests.remove(request);
    if (removed) {
      count(request, -1);
    }
    return removed;
  }

  private void count(QueuedRequest request, int sign) {
    int priority = request.need().priority();
    Sum sum = byPriority.getOrDefault(priority, Sum.NONE).plus(request, sign);
    if (sum.requests() == 0) {
      byPriority.remove(priority);
    } else {
      byPriority.put(priority, sum);
    }
  }

  int size() {
    return requests.size();
  }

  Iterator<QueuedRequest> iterator() {
    return requests.iterator();
  }

  /** All requests with a priority before one. */
  Sum before(int priority) {
    return sum(byPriority.headMap(priority));
  }

  /** All requests with a priority before one, or this one. */
  Sum upTo(int priority) {
    return sum(byPriority.headMap(priority, true));
  }

  Sum all() {
    return sum(byPriority);
  }

  private static Sum sum(java.util.Map<Integer, Sum> sums) {
    Sum total = Sum.NONE;
    for (Sum each : sums.values()) {
      total = total.plus(each);
    }
    return total;
  }

  /** All requests before one in the order; O(k) for k of its priority. */
  Sum before(QueuedRequest request) {
    Sum total = before(request.need().priority());
    for (QueuedRequest each : requests.headSet(request, false).descendingSet()) {
      if (each.need().priority() != request.need().priority()) {
        break;
      }
      total = total.plus(each, 1);
    }
    return total;
  }
}
