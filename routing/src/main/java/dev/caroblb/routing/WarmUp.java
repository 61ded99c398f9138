package dev.caroblb.routing;

/**
 * Warm-up of the targets of a service.
 *
 * @param durationMs time in milliseconds that a target stays cold after its start
 * @param perSecond requests per second that a cold target tolerates from all instances together
 */
public record WarmUp(long durationMs, double perSecond) {}
