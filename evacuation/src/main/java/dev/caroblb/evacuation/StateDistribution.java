package dev.caroblb.evacuation;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * Announces states to all known instances, and reports the revision in force here once a second. A
 * receiver of a report that knows a newer state replies with it, which replaces lost announcements.
 *
 * <p>Reports go to the control instances and to one other instance in turn: an instance without
 * contact to the control instances gets the state from the others, and the number of reports does
 * not grow with the square of the number of instances.
 */
final class StateDistribution {
  /** Interval in milliseconds between two reports of the revision. */
  static final long REPORT_INTERVAL_MS = 1_000;

  private final Outlet<PeerEnvelope<PeerMessage>> outlet;
  private Set<InstanceId> peers = Set.of();
  private Set<InstanceId> contacts = Set.of();
  private List<InstanceId> others = List.of();
  private int nextOther;
  private long nextReportMs;

  StateDistribution(Outlet<PeerEnvelope<PeerMessage>> outlet) {
    this.outlet = outlet;
  }

  /** Sets the known instances and reports to those that are new. */
  void setPeers(Set<InstanceId> known, Set<InstanceId> controlInstances, EvacuationState state) {
    for (InstanceId peer : known) {
      if (!peers.contains(peer)) {
        report(peer, state);
      }
    }
    peers = known;
    contacts = controlInstances;
    others =
        known.stream()
            .filter(peer -> !controlInstances.contains(peer))
            .sorted(Comparator.comparing(InstanceId::name))
            .toList();
  }

  void announce(EvacuationState state) {
    peers.forEach(peer -> send(peer, new PeerMessage.Announcement(state)));
  }

  /** Replies with the state if the reported revision is older. */
  void reported(InstanceId peer, long revision, EvacuationState state) {
    if (state.revision() > revision) {
      send(peer, new PeerMessage.Announcement(state));
    }
  }

  /** Reports the revision if the interval has passed. */
  void tick(EvacuationState state, long nowMs) {
    if (nowMs < nextReportMs) {
      return;
    }
    nextReportMs = nowMs + REPORT_INTERVAL_MS;
    contacts.forEach(contact -> report(contact, state));
    if (!others.isEmpty()) {
      nextOther = (nextOther + 1) % others.size();
      report(others.get(nextOther), state);
    }
  }

  long nextReportMs() {
    return nextReportMs;
  }

  private void report(InstanceId peer, EvacuationState state) {
    send(peer, new PeerMessage.RevisionReport(state.revision()));
  }

  private void send(InstanceId peer, PeerMessage message) {
    boolean unused = outlet.offer(new PeerEnvelope<>(peer, message));
  }
}
