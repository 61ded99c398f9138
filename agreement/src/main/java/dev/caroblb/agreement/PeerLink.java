package dev.caroblb.agreement;

import dev.caroblb.core.Addressed;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;

/** Sends peer messages; what a full ring refuses is lost like a frame on a broken connection. */
final class PeerLink {
  private final Outlet<Addressed<PeerMessage>> outlet;

  PeerLink(Outlet<Addressed<PeerMessage>> outlet) {
    this.outlet = outlet;
  }

  boolean send(InstanceId peer, PeerMessage message) {
    return outlet.offer(new Addressed<>(peer, message));
  }
}
