package dev.caroblb.membership;

import dev.caroblb.core.Outlet;
import dev.caroblb.core.TargetId;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Tells placement about targets. It keeps what placement knows of each target and emits the
 * difference, so that a full ring delays a change but never loses one, in bounded memory.
 */
final class TargetPublisher {
  private record Published(long incarnation, long sequence, TargetStatus status) {}

  private final Outlet<TargetChange> outlet;
  private final Map<TargetId, Published> published = new HashMap<>();
  private final Set<TargetId> pending = new LinkedHashSet<>();

  TargetPublisher(Outlet<TargetChange> outlet) {
    this.outlet = outlet;
  }

  /** Notes that the state of a target may differ from what placement knows. */
  void touch(TargetId target) {
    pending.add(target);
  }

  /** Touches the targets that placement knows and that have fallen silent. */
  void touchSilent(TargetTable table, long nowMs) {
    for (TargetId target : published.keySet()) {
      Optional<TargetRecord> current = table.find(target);
      if (current.isEmpty() || current.get().statusAt(nowMs) == TargetStatus.SILENT) {
        pending.add(target);
      }
    }
  }

  /** Emits the differences of the touched targets until the outlet is full. */
  void flush(TargetTable table, Set<TargetId> followed, long nowMs) {
    Iterator<TargetId> targets = pending.iterator();
    while (targets.hasNext()) {
      TargetId target = targets.next();
      Optional<TargetRecord> current = table.find(target).filter(r -> followed.contains(target));
      if (!emit(target, current, nowMs)) {
        return;
      }
      targets.remove();
    }
  }

  private boolean emit(TargetId target, Optional<TargetRecord> current, long nowMs) {
    Published before = published.get(target);
    if (current.isEmpty() || current.get().statusAt(nowMs) == TargetStatus.SILENT) {
      return before == null || withdraw(target, before);
    }
    TargetRecord entry = current.get();
    TargetStatus status = entry.statusAt(nowMs);
    long incarnation = entry.announcement().incarnation();
    if (status == TargetStatus.LEAVING) {
      return emitLeaving(target, before, incarnation);
    }
    Published after = new Published(incarnation, entry.announcement().sequence(), status);
    if (after.equals(before)) {
      return true;
    }
    if (!outlet.offer(changeFor(before, entry.agedAt(nowMs)))) {
      return false;
    }
    published.put(target, after);
    return true;
  }

  private static TargetChange changeFor(Published before, AgedAnnouncement latest) {
    if (before == null) {
      return new TargetChange.Available(latest);
    }
    if (before.incarnation() != latest.announcement().incarnation()) {
      return new TargetChange.Restarted(before.incarnation(), latest);
    }
    return new TargetChange.Reported(latest);
  }

  private boolean emitLeaving(TargetId target, Published before, long incarnation) {
    if (before == null) {
      return true;
    }
    if (before.incarnation() != incarnation) {
      return withdraw(target, before);
    }
    if (before.status() == TargetStatus.LEAVING) {
      return true;
    }
    if (!outlet.offer(new TargetChange.Leaving(target, incarnation))) {
      return false;
    }
    published.put(target, new Published(incarnation, before.sequence(), TargetStatus.LEAVING));
    return true;
  }

  private boolean withdraw(TargetId target, Published before) {
    if (!outlet.offer(new TargetChange.Gone(target, before.incarnation()))) {
      return false;
    }
    published.remove(target);
    return true;
  }
}
