package dev.caroblb.settings;

/**
 * Bounds on what one instance accepts.
 *
 * @param maxStreams calls that may run at once
 * @param maxBodyBytes size of a request body
 * @param maxHeaderBytes size of a request header
 * @param backlog connections that may wait to be accepted
 * @param requestTimeLimitMs time in which a request must have arrived completely
 */
public record LimitSettings(
    int maxStreams, int maxBodyBytes, int maxHeaderBytes, int backlog, long requestTimeLimitMs) {}
