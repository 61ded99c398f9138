package dev.caroblb.settings;

/**
 * Bounds on what one instance accepts.
 *
 * @param maxStreams calls that may run at once
 * @param maxBodyBytes size of a request body
 * @param maxHeaderBytes size of a request header
 * @param backlog connections that may wait to be accepted
 * @param requestTimeLimitMs time without traffic after which a connection that waits for no answer
 *     is closed
 */
public record LimitSettings(
    int maxStreams, int maxBodyBytes, int maxHeaderBytes, int backlog, long requestTimeLimitMs) {}
