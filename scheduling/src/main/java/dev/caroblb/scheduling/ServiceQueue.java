package dev.caroblb.scheduling;

import dev.caroblb.core.TargetId;
import dev.caroblb.targets.FreeMemory;
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
import java.util.TreeSet;

/**
 * Queued requests of one service. Those that can still meet their objective come first, so that
 * late ones get only room that would stay idle; each kind is ordered by priority, then by fair
 * shares of the workspaces, then by arrival.
 */
final class ServiceQueue {
  /**
   * Fraction of its tokens that the engine reserved for a request must have free for the request to
   * keep its place when it is late. The room would have been kept idle for nothing.
   */
  private static final double KEPT_ROOM_FRACTION = 0.5;

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

  /** Requests for which an engine is reserved that has much of their room by now. */
  private final Set<QueuedRequest.Key> roomKept = new HashSet<>();

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
    if (request.inTime(nowMs)) {
      inTime.add(request);
      byObjective.add(request);
    } else {
      late.add(request);
    }
  }

  void remove(QueuedRequest request) {
    byObjective.remove(request);
    roomKept.remove(request.key());
    boolean unused = inTime.remove(request) || late.remove(request);
  }

  /**
   * Moves the requests that can no longer meet their objective behind those that can, except those
   * for which room is kept.
   */
  void advance(long nowMs) {
    for (Iterator<QueuedRequest> all = byObjective.iterator(); all.hasNext(); ) {
      QueuedRequest request = all.next();
      if (request.inTime(nowMs)) {
        return;
      }
      if (roomKept.contains(request.key())) {
        continue;
      }
      all.remove();
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
   * Assigns targets to the requests for which there is room now; returns them. A request without
   * room reserves the engine with most of it: if later ones took what is freed there, small ones
   * would always overtake large ones. Looks at all targets once, and once for each request that
   * gets room.
   */
  List<QueuedRequest> place(TargetPool pool, PlacementQueue.Placed placed, long nowMs) {
    advance(nowMs);
    roomKept.clear();
    List<QueuedRequest> done = new ArrayList<>();
    Set<TargetId> reserved = new HashSet<>();
    List<FreeMemory> unreserved = List.of();
    boolean changed = true;
    for (Iterator<QueuedRequest> all = inOrder(); all.hasNext(); ) {
      QueuedRequest request = all.next();
      PlacementNeed need = request.need();
      if (changed) {
        unreserved = pool.byFreeMemory(need.service(), nowMs);
        roomBound = unreserved.isEmpty() ? -1 : unreserved.get(0).tokens();
        unreserved.removeIf(engine -> reserved.contains(engine.target().id()));
        changed = false;
      }
      if (unreserved.isEmpty()) {
        break;
      }
      Optional<Target> target =
          need.tokens() <= unreserved.get(0).tokens()
              ? pool.chooseWithRoom(need, reserved, nowMs)
              : Optional.empty();
      if (target.isPresent()) {
        done.add(request);
        placed.placed(request, target.get());
        changed = true;
        continue;
      }
      reserve(request, unreserved).ifPresent(reserved::add);
    }
    for (QueuedRequest request : done) {
      remove(request);
      shares(request.need().priority()).served(request.startTag());
    }
    return done;
  }

  /** Takes the engine with most free memory that a request may use from a list. */
  private Optional<TargetId> reserve(QueuedRequest request, List<FreeMemory> unreserved) {
    for (FreeMemory engine : unreserved) {
      TargetId id = engine.target().id();
      if (request.need().excluded().contains(id) || !request.need().fits(engine.target())) {
        continue;
      }
      if (engine.tokens() >= KEPT_ROOM_FRACTION * request.need().tokens()) {
        roomKept.add(request.key());
      }
      unreserved.remove(engine);
      return Optional.of(id);
    }
    return Optional.empty();
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
      if (roomKept.contains(request.key())) {
        ahead = ahead.plus(request, 1);
        continue;
      }
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
