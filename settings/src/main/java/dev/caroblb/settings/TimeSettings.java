package dev.caroblb.settings;

/**
 * Times that may differ between instances, in milliseconds. The times of the protocols between
 * instances are constants, because leases are safe only when all instances use the same ones.
 *
 * @param drainLimitMs time that running calls get to finish when the instance stops
 * @param callerStallMs time for which a caller may take nothing from its stream
 * @param targetStallMs time without token and keep-alive after which a stream is resumed
 * @param abandonMs time for which a generation is kept after its caller was lost
 */
public record TimeSettings(
    long drainLimitMs, long callerStallMs, long targetStallMs, long abandonMs) {}
