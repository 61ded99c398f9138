package dev.caroblb.configuration;

import dev.caroblb.core.InstanceId;

/** Sends messages to other instances or to this one; delivery is not guaranteed. */
@FunctionalInterface
interface PeerSender {
  void send(InstanceId peer, PeerMessage message);
}
