package dev.caroblb.scheduling;

import dev.caroblb.core.TargetId;
import dev.caroblb.targets.PlacementNeed;
import dev.caroblb.targets.Target;
import dev.caroblb.targets.TargetPool;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Queued requests of one service. Those that can still meet their objective come first, so that
 * late ones get only room that would stay idle; each kind is ordered by priority, then by fair
 * shares of the workspaces, then by arrival.
 */
final class ServiceQueue {
  /**
   * Maximum number of requests for which an engine is reserved until it has room. Without
   * reservations, large requests starve while small ones take all memory that becomes free.
   */
  private static final int MAX_RESERVED_ENGINES = 4;

  /** Lowest priority with shares of its own; bounds the number of them. */
  private static final int MAX_PRIORITY = 15;

  /** Decides whether a request stays queued. */
  interface Check {
    /** Returns the request as it is to be queued; empty if it is not to be queued. */
    Optional<QueuedRequest> keep(QueuedRequest request, Backlog ahead);
  }

  /** Shares of each priority: tags of urgent requests would overtake those of other ones. */
  private final Map<Integer, FairShares> shares = new HashMap<>();

  private final QueueTier inTime = new QueueTier();
  private final QueueTier late = new QueueTier();
  private final TreeSet<QueuedRequest> byObjective =
      new TreeSet<>(
          Comparator.comparingLong(QueuedRequest::inTimeUntilMs)
              .thenComparingLong(QueuedRequest::sequence));
  private final TreeMap<Long, Integer> sizes = new TreeMap<>();

  /** The most free memory of an engine is not above this; NaN if not known. */
  private double roomBound = Double.NaN;

  FairShares shares(int priority) {
    return shares.computeIfAbsent(
        Math.max(0, Math.min(MAX_PRIORITY, priority)), each -> new FairShares());
  }

  /** Starts shares anew after a time without queued requests, in which they do not matter. */
  void idle() {
    shares.values().forEach(FairShares::idle);
  }

  int size() {
    return inTime.size() + late.size();
  }

  int lateSize() {
    return late.size();
  }

  void add(QueuedRequest request, long nowMs) {
    sizes.merge(request.need().tokens(), 1, Integer::sum);
    if (request.inTime(nowMs)) {
      inTime.add(request);
      byObjective.add(request);
    } else {
      late.add(request);
    }
  }

  void remove(QueuedRequest request) {
    byObjective.remove(request);
    if (inTime.remove(request) || late.remove(request)) {
      sizes.computeIfPresent(
          request.need().tokens(), (size, count) -> count == 1 ? null : count - 1);
    }
  }

  /** Moves the requests that can no longer meet their objective behind those that can. */
  void advance(long nowMs) {
    while (!byObjective.isEmpty() && !byObjective.first().inTime(nowMs)) {
      QueuedRequest request = byObjective.pollFirst();
      inTime.remove(request);
      late.add(request);
    }
  }

  /** What gets room before a queued request. */
  Backlog ahead(QueuedRequest request, long nowMs) {
    boolean timely = request.inTime(nowMs);
    QueueTier.Sum ahead = timely ? inTime.before(request) : inTime.all().plus(late.before(request));
    QueueTier.Sum ifLate = inTime.all().plus(late.before(request));
    if (timely) {
      ifLate = ifLate.plus(request, -1);
    }
    return new Backlog(ahead.tokens(), ahead.requests(), ifLate.tokens(), ifLate.requests());
  }

  /** Records that targets may have more room than before. */
  void roomChanged() {
    roomBound = Double.NaN;
  }

  /** Whether a request may fit; false only if the last look at the targets rules it out. */
  boolean mayFit(QueuedRequest request) {
    return Double.isNaN(roomBound) || request.need().tokens() <= roomBound;
  }

  /**
   * Assigns targets to the requests for which there is room now; returns them. Looks at the targets
   * once if there is no room, and once for each request that gets room or reserves an engine.
   */
  List<QueuedRequest> place(TargetPool pool, PlacementQueue.Placed placed, long nowMs) {
    advance(nowMs);
    List<QueuedRequest> done = new ArrayList<>();
    Set<TargetId> reserved = new HashSet<>();
    // Upper bound: placements only reduce the room.
    double room = Double.NaN;
    for (Iterator<QueuedRequest> all = inOrder(); all.hasNext(); ) {
      QueuedRequest request = all.next();
      PlacementNeed need = request.need();
      if (Double.isNaN(room)) {
        room = pool.mostFreeTokens(need, reserved, nowMs);
        roomBound = reserved.isEmpty() ? room : roomBound;
      }
      if (room < sizes.firstKey()) {
        break;
      }
      Optional<Target> target =
          need.tokens() <= room ? pool.chooseWithRoom(need, reserved, nowMs) : Optional.empty();
      if (target.isPresent()) {
        done.add(request);
        placed.placed(request, target.get());
        continue;
      }
      if (reserved.size() < MAX_RESERVED_ENGINES) {
        pool.mostFreeMemory(need, reserved, nowMs)
            .ifPresent(engine -> reserved.add(engine.info().id()));
        room = Double.NaN;
      } else if (need.tokens() <= room && need.excluded().isEmpty()) {
        room = Double.NaN;
      }
    }
    for (QueuedRequest request : done) {
      remove(request);
      shares(request.need().priority()).served(request.startTag());
    }
    return done;
  }

  /** Checks all queued requests in their order; returns those that are not kept. */
  List<QueuedRequest> recheck(Check check, long nowMs) {
    advance(nowMs);
    List<QueuedRequest> rejected = new ArrayList<>();
    List<QueuedRequest> demoted = new ArrayList<>();
    QueueTier.Sum ahead = QueueTier.Sum.NONE;
    QueueTier.Sum ifLate = inTime.all();
    for (Iterator<QueuedRequest> all = inOrder(); all.hasNext(); ) {
      QueuedRequest request = all.next();
      boolean timely = request.inTime(nowMs);
      QueueTier.Sum others = timely ? ifLate.plus(request, -1) : ifLate;
      Optional<QueuedRequest> kept =
          check.keep(
              request,
              new Backlog(ahead.tokens(), ahead.requests(), others.tokens(), others.requests()));
      if (kept.isEmpty()) {
        rejected.add(request);
        ifLate = others;
        continue;
      }
      if (timely && !kept.get().inTime(nowMs)) {
        demoted.add(request);
      }
      ahead = ahead.plus(request, 1);
      ifLate = timely ? ifLate : ifLate.plus(request, 1);
    }
    rejected.forEach(this::remove);
    for (QueuedRequest request : demoted) {
      remove(request);
      add(request.asLate(nowMs), nowMs);
    }
    return rejected;
  }

  /** All requests, those in time first. */
  private Iterator<QueuedRequest> inOrder() {
    Iterator<QueuedRequest> timely = inTime.iterator();
    Iterator<QueuedRequest> tardy = late.iterator();
    return new Iterator<>() {
      @Override
      public boolean hasNext() {
        return timely.hasNext() || tardy.hasNext();
      }

      @Override
      public QueuedRequest next() {
        return timely.hasNext() ? timely.next() : tardy.next();
      }
    };
  }
}
