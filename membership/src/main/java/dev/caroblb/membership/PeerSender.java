package dev.caroblb.membership;

import dev.caroblb.core.Addressed;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Sends to the other instances; what finds no room is lost and repaired by a later digest. */
final class PeerSender {
  /**
   * Digests to so many peers each second. All 8 others of today get one; at 200 instances and 1,000
   * targets a digest to everybody would be more than the network allowance of an instance.
   */
  static final int DIGEST_PEERS = 8;

  /** Keeps a message far below the frame limit of 4 MiB. */
  static final int RECORDS_IN_MESSAGE = 64;

  private final List<InstanceId> peers;
  private final Outlet<Addressed<PeerMessage>> outlet;
  private final TransitTimes transit;
  private int nextDigestPeer;
  private long refused;

  PeerSender(Set<InstanceId> peers, Outlet<Addressed<PeerMessage>> outlet, TransitTimes transit) {
    Set<InstanceId> sorted = new TreeSet<>((a, b) -> a.name().compareTo(b.name()));
    sorted.addAll(peers);
    this.peers = List.copyOf(sorted);
    this.outlet = outlet;
    this.transit = transit;
  }

  void toAll(PeerMessage message) {
    peers.forEach(peer -> send(peer, message));
  }

  void forward(AgedAnnouncement announcement, long nowMs) {
    peers.forEach(peer -> records(peer, List.of(announcement), nowMs));
  }

  void records(InstanceId peer, List<AgedAnnouncement> records, long nowMs) {
    List<AgedAnnouncement> rest = new ArrayList<>(records);
    while (!rest.isEmpty()) {
      List<AgedAnnouncement> head = rest.subList(0, Math.min(RECORDS_IN_MESSAGE, rest.size()));
      send(peer, new PeerMessage.Records(transit.echoFor(peer, nowMs), head));
      head.clear();
    }
  }

  /** Sends the digest to the next peers in turn. */
  void digest(PeerMessage.Digest digest) {
    int count = Math.min(DIGEST_PEERS, peers.size());
    for (int i = 0; i < count; i++) {
      send(peers.get(nextDigestPeer), digest);
      nextDigestPeer = (nextDigestPeer + 1) % peers.size();
    }
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
