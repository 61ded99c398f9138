package dev.caroblb.idempotency;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;
import java.util.ArrayDeque;
import java.util.Optional;

/**
 * Sends messages between entry and leader roles. Messages to this instance go through a local
 * queue, so that its two roles communicate in the same way as those of two instances.
 */
final class KeyMessenger {
  private final InstanceId self;
  private final Outlet<PeerEnvelope<KeyMessage>> peers;
  private final ArrayDeque<KeyMessage> local = new ArrayDeque<>();

  KeyMessenger(InstanceId self, Outlet<PeerEnvelope<KeyMessage>> peers) {
    this.self = self;
    this.peers = peers;
  }

  /** Sends a message. It is dropped if the outlet is full; the entry resends its request later. */
  void send(InstanceId to, KeyMessage message) {
    if (to.equals(self)) {
      local.add(message);
      return;
    }
    peers.offer(new PeerEnvelope<>(to, message));
  }

  Optional<KeyMessage> nextLocal() {
    return Optional.ofNullable(local.poll());
  }
}
