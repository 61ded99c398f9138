package dev.caroblb.forwarding;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.forwarding.quarantine.Evidence;
import dev.caroblb.forwarding.quarantine.PromptQuarantine;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Exchanges evidence of crashed engines. Each entry reports its own evidence to all control
 * instances; each of these announces the evidence of all to the entries that report to it. All of
 * it is sent again periodically, since messages may be lost and instances restart.
 */
final class EvidenceExchange {
  /** Interval in milliseconds between two reports or announcements without new evidence. */
  private static final long INTERVAL_MS = 1_000;

  /** Minimum interval in milliseconds between two reports or announcements. */
  private static final long MIN_INTERVAL_MS = 50;

  /** Time in milliseconds without a report after which an entry gets no announcements. */
  private static final long REPORTER_TIMEOUT_MS = 10_000;

  private final Outlet<PeerEnvelope<PeerMessage>> peers;
  private final PromptQuarantine quarantine;
  private final Map<InstanceId, Long> reportedMs = new HashMap<>();
  private List<InstanceId> controlInstances = List.of();
  private long lastSentMs = Long.MIN_VALUE / 2;
  private long nextMs;

  EvidenceExchange(Outlet<PeerEnvelope<PeerMessage>> peers, PromptQuarantine quarantine) {
    this.peers = peers;
    this.quarantine = quarantine;
  }

  /** Sets the control instances to report to; none at a control instance. */
  void setControlInstances(List<InstanceId> instances) {
    controlInstances = instances;
    nextMs = 0;
  }

  /** Adds the evidence of an entry; returns whether any of it is new. */
  boolean reported(InstanceId entry, Evidence evidence, long nowMs) {
    if (reportedMs.put(entry, nowMs) == null) {
      sendSoon();
    }
    return received(evidence, nowMs);
  }

  /** Adds evidence that a control instance announced; returns whether any of it is new. */
  boolean received(Evidence evidence, long nowMs) {
    boolean changed = quarantine.received(evidence, nowMs);
    if (changed) {
      sendSoon();
    }
    return changed;
  }

  /** Schedules a message, because there is new evidence. */
  void sendSoon() {
    nextMs = Math.min(nextMs, lastSentMs + MIN_INTERVAL_MS);
  }

  long nextMs() {
    return controlInstances.isEmpty() && reportedMs.isEmpty() ? Long.MAX_VALUE : nextMs;
  }

  void tick(long nowMs) {
    lastSentMs = nowMs;
    nextMs = nowMs + INTERVAL_MS;
    quarantine.expire(nowMs);
    reportedMs.values().removeIf(lastMs -> nowMs - lastMs >= REPORTER_TIMEOUT_MS);
    if (!controlInstances.isEmpty()) {
      // An empty report, too, tells a control instance which entries need its announcements.
      send(controlInstances, new PeerMessage.EvidenceReport(quarantine.ownEvidence(nowMs)));
    }
    Evidence all = quarantine.allEvidence(nowMs);
    if (!reportedMs.isEmpty() && !all.crashes().isEmpty()) {
      send(List.copyOf(reportedMs.keySet()), new PeerMessage.EvidenceAnnouncement(all));
    }
  }

  private void send(List<InstanceId> instances, PeerMessage message) {
    for (InstanceId instance : instances) {
      boolean unused = peers.offer(new PeerEnvelope<>(instance, message));
    }
  }
}
