package dev.caroblb.transport;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;

/** Receives the messages of one channel. Called on the transport thread; must not block. */
@FunctionalInterface
public interface PeerReceiver {
  void received(InstanceId from, Payload body);
}
