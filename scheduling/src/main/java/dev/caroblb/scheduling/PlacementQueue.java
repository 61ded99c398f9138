package dev.caroblb.scheduling;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.TargetId;
import dev.caroblb.targets.PlacementNeed;
import dev.caroblb.targets.Target;
import dev.caroblb.targets.TargetPool;
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
public final class PlacementQueue {
  /** Maximum number of queued requests; further ones are placed without waiting. */
  private static final int MAX_QUEUED = 4_096;

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
  public record QueuedRequest(
      InstanceId instance, long ticket, PlacementNeed need, long queuedAtMs) {
    private boolean inTime(long nowMs) {
      return nowMs - queuedAtMs + FIRST_EVENT_DELAY_MS <= need.objectiveMs();
    }
  }

  /** Receives the requests that got a target. */
  public interface Placed {
    void placed(QueuedRequest request, Target target);
  }

  private final TargetPool pool;
  private final List<QueuedRequest> queue = new ArrayList<>();

  public PlacementQueue(TargetPool pool) {
    this.pool = pool;
  }

  public int size() {
    return queue.size();
  }

  /** Number of requests that can still meet their objective. */
  public long inTime(long nowMs) {
    return queue.stream().filter(request -> request.inTime(nowMs)).count();
  }

  public boolean isEmpty() {
    return queue.isEmpty();
  }

  /** Adds a request; returns false if the queue is full. */
  public boolean add(QueuedRequest request) {
    return queue.size() < MAX_QUEUED && queue.add(request);
  }

  public boolean contains(QueuedRequest request) {
    return queue.contains(request);
  }

  /** Removes a request that its instance cancelled. */
  public void remove(InstanceId instance, long ticket) {
    queue.removeIf(request -> request.instance().equals(instance) && request.ticket() == ticket);
  }

  /** Removes and returns the requests that no target may take. */
  public List<QueuedRequest> takeUnservable(long nowMs) {
    List<QueuedRequest> unservable = new ArrayList<>(queue);
    unservable.removeIf(request -> pool.anyUsable(request.need(), nowMs));
    queue.removeAll(unservable);
    return unservable;
  }

  /** Removes requests that an earlier process of the instance queued. */
  public void removeOfEarlierProcess(InstanceId instance, long ticket) {
    queue.removeIf(
        request ->
            request.instance().equals(instance)
                && !ProcessSequence.sameProcess(request.ticket(), ticket));
  }

  /** Removes requests queued before the given time, except those of the given instances. */
  public void retainInstances(Collection<InstanceId> instances, long queuedBeforeMs) {
    queue.removeIf(
        request ->
            request.queuedAtMs() < queuedBeforeMs && !instances.contains(request.instance()));
  }

  /** Assigns targets to the requests for which there is room now. */
  public void place(Placed placed, long nowMs) {
    queue.sort(
        Comparator.comparing((QueuedRequest request) -> !request.inTime(nowMs))
            .thenComparing(request -> request.need().priority())
            .thenComparing(QueuedRequest::queuedAtMs));
    Set<TargetId> reserved = new HashSet<>();
    for (Iterator<QueuedRequest> all = queue.iterator(); all.hasNext(); ) {
      QueuedRequest request = all.next();
      Optional<Target> target = pool.chooseWithRoom(request.need(), reserved, nowMs);
      if (target.isPresent()) {
        all.remove();
        placed.placed(request, target.get());
      } else if (reserved.size() < MAX_RESERVED_ENGINES) {
        pool.mostFreeMemory(request.need(), reserved, nowMs)
            .ifPresent(engine -> reserved.add(engine.info().id()));
      }
    }
  }
}
