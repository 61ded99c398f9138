package dev.caroblb.scheduling;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.TargetRun;
import dev.caroblb.targets.TargetLoad;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Placements of one service whose end has not been reported. Reports name the load that is left,
 * not the requests, so ends are attributed to placements of the same instance and target: by size
 * where one request ended, else to the oldest.
 */
final class OpenPlacements {
  /** Time in milliseconds after which a placement is forgotten; exceeds deadlines. */
  private static final long MAX_AGE_MS = 120_000;

  /**
   * Minimum time in milliseconds that a placement is held for its end to count. An entry that got a
   * reply too late has sent its request elsewhere and reports no load for the placement.
   */
  private static final long MIN_HELD_MS = 100;

  private record Place(InstanceId instance, TargetRun run) {}

  private record Placement(long tokens, long atMs) {}

  private final HoldTimes holdTimes = new HoldTimes();
  private final Map<Place, List<Placement>> open = new HashMap<>();

  HoldTimes holdTimes() {
    return holdTimes;
  }

  void placed(InstanceId instance, TargetRun run, long tokens, long nowMs) {
    open.computeIfAbsent(new Place(instance, run), place -> new ArrayList<>())
        .add(new Placement(tokens, nowMs));
    holdTimes.started(tokens);
  }

  /**
   * Records that an instance no longer has some load on a target. Requests there that were not
   * placed here, as before a change of the coordinator, are taken as the older ones: attributing
   * their ends to placements made here would make these look far too short.
   *
   * @param leftRequests number of requests that the instance still has there
   */
  void released(InstanceId instance, TargetLoad released, long leftRequests, long nowMs) {
    Place place = new Place(instance, released.run());
    List<Placement> placements = open.get(place);
    if (placements == null) {
      return;
    }
    long others = Math.max(0, leftRequests + released.requests() - placements.size());
    for (long left = released.requests() - others; left > 0 && !placements.isEmpty(); left--) {
      Placement ended =
          placements.remove(released.requests() == 1 ? index(placements, released.tokens()) : 0);
      long heldMs = nowMs - ended.atMs();
      if (heldMs < MIN_HELD_MS) {
        holdTimes.forgotten(ended.tokens());
      } else {
        holdTimes.ended(ended.tokens(), heldMs);
      }
    }
    if (placements.isEmpty()) {
      open.remove(place);
    }
  }

  /** The oldest placement of a size; the oldest of all if there is none. */
  private static int index(List<Placement> placements, long tokens) {
    for (int i = 0; i < placements.size(); i++) {
      if (placements.get(i).tokens() == tokens) {
        return i;
      }
    }
    return 0;
  }

  /** Forgets the placements of an instance on a target that is gone. */
  void lost(InstanceId instance, TargetRun run) {
    List<Placement> placements = open.remove(new Place(instance, run));
    if (placements != null) {
      placements.forEach(each -> holdTimes.forgotten(each.tokens()));
    }
  }

  /** Forgets the placements of instances that are gone. */
  void retain(Set<InstanceId> instances) {
    List<Place> gone = new ArrayList<>(open.keySet());
    gone.removeIf(place -> instances.contains(place.instance()));
    gone.forEach(place -> lost(place.instance(), place.run()));
  }

  /** Forgets placements whose end was not observed. */
  void expire(long nowMs) {
    for (Iterator<List<Placement>> all = open.values().iterator(); all.hasNext(); ) {
      List<Placement> placements = all.next();
      while (!placements.isEmpty() && nowMs - placements.get(0).atMs() >= MAX_AGE_MS) {
        holdTimes.forgotten(placements.remove(0).tokens());
      }
      if (placements.isEmpty()) {
        all.remove();
      }
    }
  }
}
