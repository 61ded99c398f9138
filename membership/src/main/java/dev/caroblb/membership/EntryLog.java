package dev.caroblb.membership;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LogLine;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Logs which entries join and leave the list that callers get, and heartbeats of an earlier
 * incarnation. One line is written for each change and for each such incarnation.
 */
final class EntryLog {
  private static final System.Logger LOGGER = System.getLogger(EntryLog.class.getName());

  private final InstanceTable instances;
  private final Map<InstanceId, Long> earlierIncarnations = new HashMap<>();
  private List<InstanceRecord> listed = List.of();

  EntryLog(InstanceTable instances) {
    this.instances = instances;
  }

  void entriesChanged(InstanceView view, long nowMs) {
    for (InstanceRecord entry : view.entries()) {
      if (!contains(listed, entry)) {
        log("joined", entry, view, nowMs);
      }
    }
    for (InstanceRecord entry : listed) {
      if (!contains(view.entries(), entry)) {
        log("left", latest(entry, view), view, nowMs);
      }
    }
    listed = view.entries();
  }

  /** Whether the same run of the instance is listed; its configuration may differ. */
  private static boolean contains(List<InstanceRecord> entries, InstanceRecord entry) {
    return entries.stream()
        .anyMatch(
            other -> other.id().equals(entry.id()) && other.incarnation() == entry.incarnation());
  }

  private static InstanceRecord latest(InstanceRecord entry, InstanceView view) {
    return view.instances().stream()
        .filter(known -> known.id().equals(entry.id()))
        .findFirst()
        .orElse(entry);
  }

  private void log(String change, InstanceRecord entry, InstanceView view, long nowMs) {
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of("membership.entry")
            .with("change", change)
            .with("instance", entry.id().name())
            .with("state", entry.state())
            .with("incarnation", entry.incarnation())
            .with("heartbeat_age_ms", instances.heartbeatAgeMs(entry.id(), nowMs))
            .with("entries", view.entries().size())
            .with("cut_off", instances.cutOff(nowMs))
            .toString());
  }

  void heartbeatIgnored(InstanceId peer, PeerMessage.Heartbeat heartbeat) {
    boolean earlier =
        instances.incarnation(peer).filter(known -> heartbeat.incarnation() < known).isPresent();
    if (!earlier) {
      return;
    }
    Long before = earlierIncarnations.put(peer, heartbeat.incarnation());
    if (before != null && before == heartbeat.incarnation()) {
      return;
    }
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of("membership.earlier_incarnation")
            .with("instance", peer.name())
            .with("incarnation", heartbeat.incarnation())
            .with("known", instances.incarnation(peer).orElseThrow())
            .with("state", heartbeat.state())
            .toString());
  }
}
