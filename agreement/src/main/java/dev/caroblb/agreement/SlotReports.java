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
 * Knows which incarnation runs at each slot. A report counts only with the nonce of a probe that
 * was sent after the present members were known, so a delayed message of an old incarnation can not
 * pass for the loss of the newer one.
 */
final class SlotReports {
  private final GroupId group;
  private final Member self;
  private final PeerLink peers;
  private final RandomGenerator random;
  private final Map<InstanceId, Long> nonces = new HashMap<>();
  private final Map<InstanceId, PeerMessage.Report> reports = new HashMap<>();
  private List<Member> members = List.of();

  SlotReports(GroupId group, Member self, PeerLink peers, RandomGenerator random) {
    this.group = group;
    this.self = self;
    this.peers = peers;
    this.random = random;
  }

  /** Asks a slot for its incarnation; an unanswered question keeps its nonce. */
  void probe(InstanceId slot) {
    long nonce = nonces.computeIfAbsent(slot, key -> random.nextLong());
    peers.send(slot, new PeerMessage.Probe(group, self.incarnation(), nonce));
  }

  void receive(InstanceId slot, PeerMessage.Report report) {
    if (!nonces.remove(slot, report.nonce())) {
      return;
    }
    reports.put(slot, report);
  }

  /** Forgets all reports if the newest member list is another one than before. */
  void follow(List<Member> newest) {
    if (newest.equals(members)) {
      return;
    }
    members = newest;
    nonces.clear();
    reports.clear();
  }

  /** Forgets the report of a slot that fell silent. */
  void forget(InstanceId slot) {
    nonces.remove(slot);
    reports.remove(slot);
  }

  /** Members whose slot reported another incarnation, which proves that they are gone for good. */
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

  /** The incarnation that a slot reported. */
  Optional<Member> reported(InstanceId slot) {
    return Optional.ofNullable(reports.get(slot))
        .map(report -> new Member(slot, report.incarnation()));
  }

  /** Whether all the given slots reported that they hold no entry. */
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
