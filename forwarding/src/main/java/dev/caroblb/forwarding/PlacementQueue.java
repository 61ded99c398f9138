package dev.caroblb.forwarding;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.TargetId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Requests that wait until an engine has room. Requests that can still meet their latency objective
 * come first, ordered by priority and then by arrival. Under overload, plain first-come,
 * first-served order would make all of them late.
 */
final class PlacementQueue {
  /** Maximum number of queued requests; further ones are placed without waiting. */
  private static final int MAX_WAITING = 4_096;

  /**
   * Time in milliseconds from a placement to the first event under load. The prefill of 3,000
   * tokens takes 210 ms alone and two to three times that next to other prompts.
   */
  private static final long FIRST_EVENT_DELAY_MS = 700;

  /**
   * Maximum number of requests for which an engine is reserved until it has room. Without
   * reservations, large requests starve while small ones take all memory that becomes free.
   */
  private static final int MAX_RESERVED_ENGINES = 4;

  /** A queued request. */
  record Waiting(InstanceId instance, long ticket, PlacementNeed need, long queuedAtMs) {
    private boolean inTime(long nowMs) {
      return nowMs - queuedAtMs + FIRST_EVENT_DELAY_MS <= need.objectiveMs();
    }
  }

  /** Receives the requests that got a target. */
  interface Placed {
    void placed(Waiting waiting, Target target);
  }

  private final TargetPool pool;
  private final List<Waiting> queue = new ArrayList<>();

  PlacementQueue(TargetPool pool) {
    this.pool = pool;
  }

  int size() {
    return queue.size();
  }

  /** Number of requests that can still meet their objective. */
  long inTime(long nowMs) {
    return queue.stream().filter(waiting -> waiting.inTime(nowMs)).count();
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  /** Adds a request; returns false if the queue is full. */
  boolean add(Waiting waiting) {
    return queue.size() < MAX_WAITING && queue.add(waiting);
  }

  boolean contains(Waiting waiting) {
    return queue.contains(waiting);
  }

  /** Removes a request that its instance cancelled. */
  void remove(InstanceId instance, long ticket) {
    queue.removeIf(waiting -> waiting.instance().equals(instance) && waiting.ticket() == ticket);
  }

  /** Removes the requests of other than the given instances, unless they are newer than a time. */
  void retainInstances(Collection<InstanceId> instances, long queuedBeforeMs) {
    queue.removeIf(
        waiting ->
            waiting.queuedAtMs() < queuedBeforeMs && !instances.contains(waiting.instance()));
  }

  /** Assigns targets to the requests for which there is room now. */
  void place(Placed placed, long nowMs) {
    queue.sort(
        Comparator.comparing((Waiting waiting) -> !waiting.inTime(nowMs))
            .thenComparing(waiting -> waiting.need().priority())
            .thenComparing(Waiting::queuedAtMs));
    Set<TargetId> reserved = new HashSet<>();
    for (Iterator<Waiting> all = queue.iterator(); all.hasNext(); ) {
      Waiting waiting = all.next();
      Optional<Target> target = pool.chooseWithRoom(waiting.need(), reserved, nowMs);
      if (target.isPresent()) {
        all.remove();
        placed.placed(waiting, target.get());
      } else if (reserved.size() < MAX_RESERVED_ENGINES) {
        pool.mostFreeMemory(waiting.need(), reserved, nowMs)
            .ifPresent(engine -> reserved.add(engine.info().id()));
      }
    }
  }
}
