package dev.caroblb.membership;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;
import java.util.ArrayList;
import java.util.List;

/**
 * Sends messages to the other instances. A message for which the transport has no room is dropped;
 * a later digest recovers its content.
 */
final class PeerSender {
  /**
   * Maximum number of peers that get a digest in one round, which is one second. Current clusters
   * have no more peers than that.
   */
  static final int MAX_DIGEST_PEERS = 8;

  /**
   * Maximum number of target summaries in all digests of one round. Full digests of 200 targets to
   * 8 peers took 36 KB/s, more than the whole network budget of an instance; 400 summaries take
   * about 9 KB/s.
   */
  static final int MAX_SUMMARIES_PER_ROUND = 400;

  /** Keeps messages far below the frame limit of 4 MiB. */
  static final int MAX_RECORDS_PER_MESSAGE = 64;

  private final Topology topology;
  private final Outlet<PeerEnvelope<PeerMessage>> outlet;
  private final TransitTimes transit;
  private int nextDigestPeer;
  private int nextDigestTarget;
  private long refused;

  PeerSender(Topology topology, Outlet<PeerEnvelope<PeerMessage>> outlet, TransitTimes transit) {
    this.topology = topology;
    this.outlet = outlet;
    this.transit = transit;
  }

  void broadcast(PeerMessage message) {
    topology.peers().forEach(peer -> send(peer, message));
  }

  void forward(List<AgedAnnouncement> announcements, long nowMs) {
    topology.peers().forEach(peer -> sendRecords(peer, announcements, nowMs));
  }

  void sendRecords(InstanceId peer, List<AgedAnnouncement> records, long nowMs) {
    List<AgedAnnouncement> rest = new ArrayList<>(records);
    while (!rest.isEmpty()) {
      List<AgedAnnouncement> head = rest.subList(0, Math.min(MAX_RECORDS_PER_MESSAGE, rest.size()));
      send(peer, new PeerMessage.Records(transit.echoFor(peer, nowMs), head));
      head.clear();
    }
  }

  /**
   * Sends digests to the next peers in round-robin order. The longer the digest, the fewer peers
   * get it in one round. A digest above the limit is sent in parts, which is safe because a digest
   * makes no statement about targets that it does not contain.
   */
  void sendDigests(List<TargetSummary> targets) {
    List<InstanceId> peers =
        topology.peers().stream().sorted((a, b) -> a.name().compareTo(b.name())).toList();
    int fitting = Math.max(1, MAX_SUMMARIES_PER_ROUND / Math.max(1, targets.size()));
    int count = Math.min(fitting, Math.min(MAX_DIGEST_PEERS, peers.size()));
    for (int i = 0; i < count; i++) {
      nextDigestPeer = nextDigestPeer % peers.size();
      send(peers.get(nextDigestPeer), new PeerMessage.Digest(nextPart(targets)));
      nextDigestPeer++;
    }
  }

  private List<TargetSummary> nextPart(List<TargetSummary> targets) {
    if (targets.size() <= MAX_SUMMARIES_PER_ROUND) {
      return targets;
    }
    int from = nextDigestTarget >= targets.size() ? 0 : nextDigestTarget;
    nextDigestTarget = Math.min(targets.size(), from + MAX_SUMMARIES_PER_ROUND);
    return targets.subList(from, nextDigestTarget);
  }

  void send(InstanceId peer, PeerMessage message) {
    if (!outlet.offer(new PeerEnvelope<>(peer, message))) {
      refused++;
    }
  }

  /** Number of messages that were dropped because the transport was full. */
  long refused() {
    return refused;
  }
}
