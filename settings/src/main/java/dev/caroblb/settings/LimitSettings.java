package dev.caroblb.settings;

/**
 * Limits on what one instance accepts.
 *
 * @param maxStreams maximum number of concurrent calls
 * @param maxBodyBytes maximum size of a request body
 * @param maxHeaderBytes maximum size of a request header
 * @param backlog maximum number of connections waiting to be accepted
 * @param requestTimeLimitMs time without traffic after which a connection is closed if no answer is
 *     pending on it
 */
public record LimitSettings(
    int maxStreams, int maxBodyBytes, int maxHeaderBytes, int backlog, long requestTimeLimitMs) {}
