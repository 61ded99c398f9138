package dev.caroblb.scheduling;

import java.util.Comparator;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
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

    Sum minus(Sum other) {
      return new Sum(tokens - other.tokens, requests - other.requests);
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

  private static Sum sum(Map<Integer, Sum> sums) {
    Sum total = Sum.NONE;
    for (Sum each : sums.values()) {
      total = total.plus(each);
    }
    return total;
  }

  /**
   * All requests before one in the order. Counts those of its priority before it or after it,
   * whichever are fewer.
   */
  Sum before(QueuedRequest request) {
    int priority = request.need().priority();
    Iterator<QueuedRequest> before = requests.headSet(request, false).descendingIterator();
    Iterator<QueuedRequest> after = requests.tailSet(request, true).iterator();
    Sum sumBefore = before(priority);
    Sum sumAfter = Sum.NONE;
    while (true) {
      Optional<QueuedRequest> earlier = next(before, priority);
      if (earlier.isEmpty()) {
        return sumBefore;
      }
      Optional<QueuedRequest> later = next(after, priority);
      if (later.isEmpty()) {
        return upTo(priority).minus(sumAfter);
      }
      sumBefore = sumBefore.plus(earlier.get(), 1);
      sumAfter = sumAfter.plus(later.get(), 1);
    }
  }

  private static Optional<QueuedRequest> next(Iterator<QueuedRequest> from, int priority) {
    return from.hasNext()
        ? Optional.of(from.next()).filter(request -> request.need().priority() == priority)
        : Optional.empty();
  }
}
