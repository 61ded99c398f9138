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
 * Requests that wait for room at an engine. Those that can still meet their objective go first, by
 * rank and then by arrival: when engines are overloaded, serving in the order of arrival alone
 * would make all of them late.
 */
final class PlacementQueue {
  /** Requests that wait at most; an instance places further ones itself. */
  private static final int MAX_WAITING = 4_096;

  /**
   * Time in milliseconds from a placement to the first event under load: a prompt of 3,000 tokens
   * takes 210 ms alone and two to three times that beside other prompts.
   */
  private static final long FIRST_EVENT_MS = 700;

  /**
   * Requests for which an engine is held until it has room. Without that, large requests would wait
   * for ever while small ones take each piece of memory that becomes free.
   */
  private static final int MAX_HELD = 4;

  /** A request that waits. */
  record Waiting(InstanceId instance, long ticket, PlacementNeed need, long askedAtMs) {
    private boolean inTime(long nowMs) {
      return nowMs - askedAtMs + FIRST_EVENT_MS <= need.objectiveMs();
    }
  }

  /** Takes the requests that got a target. */
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

  /** Adds a request unless too many wait. */
  boolean add(Waiting waiting) {
    return queue.size() < MAX_WAITING && queue.add(waiting);
  }

  boolean holds(Waiting waiting) {
    return queue.contains(waiting);
  }

  /** Forgets a request that its instance gave up or placed itself. */
  void drop(InstanceId instance, long ticket) {
    queue.removeIf(waiting -> waiting.instance().equals(instance) && waiting.ticket() == ticket);
  }

  /** Forgets the requests of instances that have been silent since a time. */
  void forgetOthers(Collection<InstanceId> heard, long askedBeforeMs) {
    queue.removeIf(
        waiting -> waiting.askedAtMs() < askedBeforeMs && !heard.contains(waiting.instance()));
  }

  /** Gives targets to the requests for which there is room now. */
  void place(Placed placed, long nowMs) {
    queue.sort(
        Comparator.comparing((Waiting waiting) -> !waiting.inTime(nowMs))
            .thenComparing(waiting -> waiting.need().rank())
            .thenComparing(Waiting::askedAtMs));
    Set<TargetId> held = new HashSet<>();
    for (Iterator<Waiting> all = queue.iterator(); all.hasNext(); ) {
      Waiting waiting = all.next();
      Optional<Target> target = pool.chooseWithRoom(waiting.need(), held, nowMs);
      if (target.isPresent()) {
        all.remove();
        placed.placed(waiting, target.get());
      } else if (held.size() < MAX_HELD) {
        pool.mostRoom(waiting.need(), held, nowMs)
            .ifPresent(engine -> held.add(engine.info().id()));
      }
    }
  }
}
