package dev.caroblb.membership;

import dev.caroblb.core.Addressed;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import java.util.ArrayList;
import java.util.List;

/** Sends to the other instances; what finds no room is lost and repaired by a later digest. */
final class PeerSender {
  /** Digests to so many peers each second; today these are all others. */
  static final int DIGEST_PEERS = 8;

  /**
   * Bounds what all digests of a second name. Whole digests of 200 targets to 8 peers took 36 KB/s,
   * more than the whole network allowance of an instance; 400 summaries take about 9 KB/s.
   */
  static final int DIGEST_SUMMARIES = 400;

  /** Keeps a message far below the frame limit of 4 MiB. */
  static final int RECORDS_IN_MESSAGE = 64;

  private final Topology topology;
  private final Outlet<Addressed<PeerMessage>> outlet;
  private final TransitTimes transit;
  private int nextDigestPeer;
  private int nextDigestTarget;
  private long refused;

  PeerSender(Topology topology, Outlet<Addressed<PeerMessage>> outlet, TransitTimes transit) {
    this.topology = topology;
    this.outlet = outlet;
    this.transit = transit;
  }

  void toAll(PeerMessage message) {
    topology.peers().forEach(peer -> send(peer, message));
  }

  void forward(List<AgedAnnouncement> announcements, long nowMs) {
    topology.peers().forEach(peer -> records(peer, announcements, nowMs));
  }

  void records(InstanceId peer, List<AgedAnnouncement> records, long nowMs) {
    List<AgedAnnouncement> rest = new ArrayList<>(records);
    while (!rest.isEmpty()) {
      List<AgedAnnouncement> head = rest.subList(0, Math.min(RECORDS_IN_MESSAGE, rest.size()));
      send(peer, new PeerMessage.Records(transit.echoFor(peer, nowMs), head));
      head.clear();
    }
  }

  /**
   * Sends digests to the next peers in turn. A long one goes to fewer peers; of a very long one a
   * part is sent each time, which is sound because a digest says nothing of targets not in it.
   */
  void digest(List<TargetSummary> targets) {
    List<InstanceId> peers =
        topology.peers().stream().sorted((a, b) -> a.name().compareTo(b.name())).toList();
    int fitting = Math.max(1, DIGEST_SUMMARIES / Math.max(1, targets.size()));
    int count = Math.min(fitting, Math.min(DIGEST_PEERS, peers.size()));
    for (int i = 0; i < count; i++) {
      nextDigestPeer = nextDigestPeer % peers.size();
      send(peers.get(nextDigestPeer), new PeerMessage.Digest(nextPart(targets)));
      nextDigestPeer++;
    }
  }

  private List<TargetSummary> nextPart(List<TargetSummary> targets) {
    if (targets.size() <= DIGEST_SUMMARIES) {
      return targets;
    }
    int from = nextDigestTarget >= targets.size() ? 0 : nextDigestTarget;
    nextDigestTarget = Math.min(targets.size(), from + DIGEST_SUMMARIES);
    return targets.subList(from, nextDigestTarget);
  }

  void send(InstanceId peer, PeerMessage message) {
    if (!outlet.offer(new Addressed<>(peer, message))) {
      refused++;
    }
  }

  /** Number of messages for which the transport had no room. */
  long refused() {
    return refused;
  }
}
