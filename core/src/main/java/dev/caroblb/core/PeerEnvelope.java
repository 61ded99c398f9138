package dev.caroblb.core;

/**
 * A message with the peer instance that sent it or that it is sent to.
 *
 * @param peer sender of a received message, receiver of a sent one
 * @param message the message itself
 */
public record PeerEnvelope<M>(InstanceId peer, M message) {}
