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
 * Notifies placement of changes of targets. It remembers the last state of each target that
 * placement was told, and emits the difference between that and the current state. A full ring
 * therefore delays changes but never loses them, and memory stays bounded.
 */
final class TargetChangeNotifier {
  private record NotifiedState(long incarnation, long sequence, TargetStatus status) {}

  private final Outlet<TargetChange> outlet;
  private final Map<TargetId, NotifiedState> notifiedStates = new HashMap<>();
  private final Set<TargetId> marked = new LinkedHashSet<>();

  TargetChangeNotifier(Outlet<TargetChange> outlet) {
    this.outlet = outlet;
  }

  /** Marks a target whose state may differ from what placement was told. */
  void markChanged(TargetId target) {
    marked.add(target);
  }

  /** Marks the targets that placement knows and that are now silent. */
  void markSilentTargets(TargetTable table, long nowMs) {
    for (TargetId target : notifiedStates.keySet()) {
      Optional<TargetRecord> current = table.find(target);
      if (current.isEmpty() || current.get().statusAt(nowMs) == TargetStatus.SILENT) {
        marked.add(target);
      }
    }
  }

  /** Emits the changes of the marked targets until the outlet is full. */
  void flush(TargetTable table, Set<TargetId> followed, long nowMs) {
    Iterator<TargetId> targets = marked.iterator();
    while (targets.hasNext()) {
      TargetId target = targets.next();
      Optional<TargetRecord> current = table.find(target).filter(r -> followed.contains(target));
      if (!emitDifference(target, current, nowMs)) {
        return;
      }
      targets.remove();
    }
  }

  private boolean emitDifference(TargetId target, Optional<TargetRecord> current, long nowMs) {
    NotifiedState before = notifiedStates.get(target);
    if (current.isEmpty() || current.get().statusAt(nowMs) == TargetStatus.SILENT) {
      return before == null || emitGone(target, before);
    }
    TargetRecord latest = current.get();
    TargetStatus status = latest.statusAt(nowMs);
    long incarnation = latest.announcement().incarnation();
    if (status == TargetStatus.LEAVING) {
      return emitLeaving(target, before, incarnation);
    }
    NotifiedState after = new NotifiedState(incarnation, latest.announcement().sequence(), status);
    if (after.equals(before)) {
      return true;
    }
    if (!outlet.offer(changeFor(before, latest.agedAt(nowMs)))) {
      return false;
    }
    notifiedStates.put(target, after);
    return true;
  }

  private static TargetChange changeFor(NotifiedState before, AgedAnnouncement latest) {
    if (before == null) {
      return new TargetChange.Available(latest);
    }
    if (before.incarnation() != latest.announcement().incarnation()) {
      return new TargetChange.Restarted(before.incarnation(), latest);
    }
    return new TargetChange.Reported(latest);
  }

  private boolean emitLeaving(TargetId target, NotifiedState before, long incarnation) {
    if (before == null) {
      return true;
    }
    if (before.incarnation() != incarnation) {
      return emitGone(target, before);
    }
    if (before.status() == TargetStatus.LEAVING) {
      return true;
    }
    if (!outlet.offer(new TargetChange.Leaving(target, incarnation))) {
      return false;
    }
    notifiedStates.put(
        target, new NotifiedState(incarnation, before.sequence(), TargetStatus.LEAVING));
    return true;
  }

  private boolean emitGone(TargetId target, NotifiedState before) {
    if (!outlet.offer(new TargetChange.Gone(target, before.incarnation()))) {
      return false;
    }
    notifiedStates.remove(target);
    return true;
  }
}
