package dev.caroblb.agreement;

import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Tracks which incarnation runs at each slot. A report is accepted only with the nonce of a probe
 * that was sent after the current member list became known. A delayed report from an old
 * incarnation can therefore not make the newer one look lost.
 */
final class SlotReports {
  private final GroupId group;
  private final Member self;
  private final PeerSender peers;
  private final RandomGenerator random;
  private final Map<InstanceId, Long> nonces = new HashMap<>();
  private final Map<InstanceId, PeerMessage.Report> reports = new HashMap<>();
  private List<Member> members = List.of();

  SlotReports(GroupId group, Member self, PeerSender peers, RandomGenerator random) {
    this.group = group;
    this.self = self;
    this.peers = peers;
    this.random = random;
  }

  /** Asks a slot for its incarnation; the nonce of an unanswered probe is used again. */
  void probe(InstanceId slot) {
    long nonce = nonces.computeIfAbsent(slot, key -> random.nextLong());
    peers.send(slot, new PeerMessage.Probe(group, self.incarnation(), nonce));
  }

  /** Records a report. Returns false if it does not respond to the last probe of the slot. */
  boolean receive(InstanceId slot, PeerMessage.Report report) {
    if (!nonces.remove(slot, report.nonce())) {
      return false;
    }
    reports.put(slot, report);
    return true;
  }

  /** Discards all reports if the newest member list has changed. */
  void updateMembers(List<Member> newest) {
    if (newest.equals(members)) {
      return;
    }
    members = newest;
    nonces.clear();
    reports.clear();
  }

  /** Discards the report of a slot that no longer responds. */
  void forget(InstanceId slot) {
    nonces.remove(slot);
    reports.remove(slot);
  }

  /**
   * Members whose slot reported another incarnation, which proves that their data folder is lost.
   */
  Set<Member> lost(Collection<Member> candidates) {
    Set<Member> lost = new HashSet<>();
    for (Member member : candidates) {
      PeerMessage.Report report = reports.get(member.instance());
      if (report != null && !report.incarnation().equals(member.incarnation())) {
        lost.add(member);
      }
    }
    return lost;
  }

  /** Returns the slot with the incarnation that it reported. */
  Optional<Member> reported(InstanceId slot) {
    return Optional.ofNullable(reports.get(slot))
        .map(report -> new Member(slot, report.incarnation()));
  }

  /** Whether all given slots have reported that they store no entry. */
  boolean allBlank(List<InstanceId> slots) {
    for (InstanceId slot : slots) {
      PeerMessage.Report report = reports.get(slot);
      if (report == null || !report.blank()) {
        return false;
      }
    }
    return true;
  }
}
