package dev.caroblb.core;

/**
 * A message together with the other instance it comes from or goes to.
 *
 * @param peer the other instance
 * @param message what is sent or was received
 */
public record Addressed<M>(InstanceId peer, M message) {}
