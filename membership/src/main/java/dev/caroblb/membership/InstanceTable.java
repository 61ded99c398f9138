package dev.caroblb.membership;

import dev.caroblb.core.InstanceId;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Table of the latest heartbeat of every other instance. */
final class InstanceTable {
  /** Time without a heartbeat after which an instance counts as silent: six lost heartbeats. */
  static final long SILENT_AFTER_MS = 3_000;

  /**
   * Time after which a silent instance is forgotten. It is longer than a restart, so that an
   * instance that is cut off keeps the addresses of the others.
   */
  static final long FORGET_AFTER_MS = 600_000;

  /** Effect of a heartbeat on the table. */
  enum MergeResult {
    /** A later heartbeat is already known; this one was ignored. */
    STALE,
    /** The instance is alive and its state is unchanged. */
    REFRESHED,
    CHANGED
  }

  private record KnownInstance(InstanceRecord instance, long sequence, long heardAtMs) {
    boolean silentAt(long nowMs) {
      return nowMs - heardAtMs >= SILENT_AFTER_MS;
    }
  }

  private final Map<InstanceId, KnownInstance> known =
      new TreeMap<>((a, b) -> a.name().compareTo(b.name()));

  /** Stores a heartbeat unless a later one is known. */
  MergeResult merge(InstanceId peer, PeerMessage.Heartbeat heartbeat, long nowMs) {
    KnownInstance before = known.get(peer);
    if (before != null) {
      long incarnation = before.instance().incarnation();
      boolean sameRun = incarnation == heartbeat.incarnation();
      if (heartbeat.incarnation() < incarnation
          || (sameRun && heartbeat.sequence() <= before.sequence())) {
        return MergeResult.STALE;
      }
    }
    InstanceRecord instance =
        new InstanceRecord(
            peer,
            heartbeat.incarnation(),
            heartbeat.state(),
            heartbeat.configuration(),
            heartbeat.domain(),
            heartbeat.address(),
            heartbeat.resources());
    known.put(peer, new KnownInstance(instance, heartbeat.sequence(), nowMs));
    boolean same = before != null && before.instance().equals(instance);
    return same ? MergeResult.REFRESHED : MergeResult.CHANGED;
  }

  /** Whether all other instances are silent, so that this one is probably cut off. */
  boolean cutOff(long nowMs) {
    return known.values().stream().allMatch(other -> other.silentAt(nowMs));
  }

  Optional<Long> incarnation(InstanceId id) {
    return Optional.ofNullable(known.get(id)).map(other -> other.instance().incarnation());
  }

  /** Time in milliseconds since the latest heartbeat; 0 for an unknown instance. */
  long heartbeatAgeMs(InstanceId id, long nowMs) {
    return Optional.ofNullable(known.get(id)).map(other -> nowMs - other.heardAtMs()).orElse(0L);
  }

  void forget(long nowMs) {
    Iterator<KnownInstance> iterator = known.values().iterator();
    while (iterator.hasNext()) {
      if (nowMs - iterator.next().heardAtMs() >= FORGET_AFTER_MS) {
        iterator.remove();
      }
    }
  }

  /**
   * Returns the instances as seen by this one. If all other instances are silent, this instance is
   * probably cut off itself, so the view keeps the others as entries that may still serve callers.
   */
  InstanceView view(InstanceRecord self, long nowMs) {
    List<InstanceRecord> reachable = new ArrayList<>();
    List<InstanceRecord> instances = new ArrayList<>();
    reachable.add(self);
    instances.add(self);
    boolean cutOff = cutOff(nowMs);
    for (KnownInstance other : known.values()) {
      instances.add(other.instance());
      if (cutOff || !other.silentAt(nowMs)) {
        reachable.add(other.instance());
      }
    }
    return new InstanceView(entries(reachable), instances);
  }

  /**
   * The instances that admit new calls. If there are none, those that refuse them for now: their
   * refusals tell callers when to try again.
   */
  private static List<InstanceRecord> entries(List<InstanceRecord> reachable) {
    List<InstanceRecord> ready = entriesIn(InstanceState.READY, reachable);
    return ready.isEmpty() ? entriesIn(InstanceState.NOT_ADMITTING, reachable) : ready;
  }

  private static List<InstanceRecord> entriesIn(
      InstanceState state, List<InstanceRecord> reachable) {
    return reachable.stream()
        .filter(instance -> instance.state() == state && !instance.address().isEmpty())
        .toList();
  }
}
