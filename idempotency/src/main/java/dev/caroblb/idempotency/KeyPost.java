package dev.caroblb.idempotency;

import dev.caroblb.core.Addressed;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import java.util.ArrayDeque;
import java.util.Optional;

/**
 * Sends messages to other instances. Messages to this instance wait in a queue, so that the two
 * roles of one instance talk in the same way as those of two.
 */
final class KeyPost {
  private final InstanceId self;
  private final Outlet<Addressed<KeyMessage>> peers;
  private final ArrayDeque<KeyMessage> local = new ArrayDeque<>();

  KeyPost(InstanceId self, Outlet<Addressed<KeyMessage>> peers) {
    this.self = self;
    this.peers = peers;
  }

  /** Sends a message; one that finds no room is lost, and its request is sent again later. */
  void send(InstanceId to, KeyMessage message) {
    if (to.equals(self)) {
      local.add(message);
      return;
    }
    peers.offer(new Addressed<>(to, message));
  }

  Optional<KeyMessage> nextLocal() {
    return Optional.ofNullable(local.poll());
  }
}
