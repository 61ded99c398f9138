package dev.caroblb.membership;

import dev.caroblb.core.InstanceId;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Latest heartbeat of every other instance. */
final class InstanceTable {
  /** Six heartbeats in a row were lost. */
  static final long SILENT_AFTER_MS = 3_000;

  /** Longer than a restart, so that a cut-off instance keeps the addresses of the others. */
  static final long FORGET_AFTER_MS = 600_000;

  /** What a heartbeat brought. */
  enum Merge {
    /** A later heartbeat is known; this one counts for nothing. */
    STALE,
    /** The instance lives and is as it was. */
    REFRESHED,
    CHANGED
  }

  private record Known(InstanceRecord instance, long sequence, long heardAtMs) {
    boolean silentAt(long nowMs) {
      return nowMs - heardAtMs >= SILENT_AFTER_MS;
    }
  }

  private final Map<InstanceId, Known> known =
      new TreeMap<>((a, b) -> a.name().compareTo(b.name()));

  /** Stores a heartbeat unless a later one is known. */
  Merge merge(InstanceId peer, PeerMessage.Heartbeat heartbeat, long nowMs) {
    Known before = known.get(peer);
    if (before != null) {
      long incarnation = before.instance().incarnation();
      boolean sameRun = incarnation == heartbeat.incarnation();
      if (heartbeat.incarnation() < incarnation
          || (sameRun && heartbeat.sequence() <= before.sequence())) {
        return Merge.STALE;
      }
    }
    InstanceRecord instance =
        new InstanceRecord(
            peer,
            heartbeat.incarnation(),
            heartbeat.state(),
            heartbeat.configuration(),
            heartbeat.domain(),
            heartbeat.address());
    known.put(peer, new Known(instance, heartbeat.sequence(), nowMs));
    boolean same = before != null && before.instance().equals(instance);
    return same ? Merge.REFRESHED : Merge.CHANGED;
  }

  void forget(long nowMs) {
    Iterator<Known> entries = known.values().iterator();
    while (entries.hasNext()) {
      if (nowMs - entries.next().heardAtMs() >= FORGET_AFTER_MS) {
        entries.remove();
      }
    }
  }

  /**
   * The view at this instance. When every other instance is silent this one is probably cut off, so
   * it keeps sending callers to the others, which may serve them.
   */
  InstanceView view(InstanceRecord self, long nowMs) {
    List<InstanceRecord> entries = new ArrayList<>();
    List<InstanceRecord> instances = new ArrayList<>();
    addEntry(entries, self);
    instances.add(self);
    boolean cutOff = known.values().stream().allMatch(entry -> entry.silentAt(nowMs));
    for (Known entry : known.values()) {
      instances.add(entry.instance());
      if (cutOff || !entry.silentAt(nowMs)) {
        addEntry(entries, entry.instance());
      }
    }
    return new InstanceView(entries, instances);
  }

  private static void addEntry(List<InstanceRecord> entries, InstanceRecord instance) {
    if (instance.state() == InstanceState.READY && !instance.address().isEmpty()) {
      entries.add(instance);
    }
  }
}
