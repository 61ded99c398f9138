package dev.caroblb.settings;

/**
 * Durations in milliseconds that may differ between instances. The timing of the protocols between
 * instances is constant, because leases are safe only if all instances use the same values.
 *
 * @param drainLimitMs time that running calls have to finish when the instance stops
 * @param callerStallMs time after which a call whose caller reads nothing from its stream is ended
 * @param targetStallMs time without a token or keep-alive from the target after which a stream is
 *     resumed
 * @param abandonMs time for which a generation is kept after the connection to its caller is lost
 */
public record TimeSettings(
    long drainLimitMs, long callerStallMs, long targetStallMs, long abandonMs) {}
