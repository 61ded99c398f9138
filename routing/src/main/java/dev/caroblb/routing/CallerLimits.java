package dev.caroblb.routing;

/**
 * What a caller may send, and how long it may take.
 *
 * @param maxHeaderBytes bytes of a request head
 * @param maxBodyBytes bytes of a request body
 * @param headerTimeoutMs time in milliseconds for a whole request head
 * @param idleTimeoutMs time in milliseconds for which a connection may stay idle
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {}
