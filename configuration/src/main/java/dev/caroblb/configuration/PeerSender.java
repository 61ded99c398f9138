package dev.caroblb.configuration;

import dev.caroblb.core.InstanceId;

/** Sends messages to other instances, or to this one, without a guarantee of delivery. */
@FunctionalInterface
interface PeerSender {
  void send(InstanceId peer, PeerMessage message);
}
