package dev.caroblb.transport;

/**
 * First frame of a connection: identifies the dialing instance and carries the shared secret of the
 * cluster.
 */
public record Hello(String cluster, String instance, String incarnation, String token) {}
