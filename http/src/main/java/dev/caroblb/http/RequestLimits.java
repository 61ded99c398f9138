package dev.caroblb.http;

/**
 * Limits of a listener that may change while it runs. A change applies to the requests that begin
 * after it.
 *
 * @param maxHeadBytes maximum size of a request head, in bytes
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param headTimeoutMs time in milliseconds to receive a request head once its first byte arrived
 * @param idleTimeoutMs idle time in milliseconds after which a connection that is not waiting for a
 *     response is closed
 */
public record RequestLimits(
    int maxHeadBytes, int maxBodyBytes, long headTimeoutMs, long idleTimeoutMs) {}
