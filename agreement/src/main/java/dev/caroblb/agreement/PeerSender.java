package dev.caroblb.agreement;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;

/**
 * Sends messages to other replicas. A message that a full ring refuses is dropped, like a frame on
 * a broken connection; the protocol tolerates this.
 */
final class PeerSender {
  private final Outlet<PeerEnvelope<PeerMessage>> outlet;

  PeerSender(Outlet<PeerEnvelope<PeerMessage>> outlet) {
    this.outlet = outlet;
  }

  boolean send(InstanceId peer, PeerMessage message) {
    return outlet.offer(new PeerEnvelope<>(peer, message));
  }
}
