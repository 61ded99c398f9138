package dev.caroblb.transport;

/** First frame of a connection: who dialled it, and the shared secret of the cluster. */
public record Hello(String cluster, String instance, String incarnation, String token) {}
