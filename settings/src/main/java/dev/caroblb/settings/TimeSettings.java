package dev.caroblb.settings;

/**
 * Times of the protocols, in milliseconds.
 *
 * @param keepMs time for which callers may keep the list of entries
 * @param drainLimitMs time that running calls get to finish when the instance stops
 * @param configurationLeaseMs time for which an entry may admit calls after a lease renewal
 * @param targetExpiryMs time after which a silent target gets no new work
 * @param callerStallMs time for which a caller may take nothing from its stream
 * @param targetStallMs time without token and keep-alive after which a stream is resumed
 * @param abandonMs time for which a generation is kept after its caller was lost
 */
public record TimeSettings(
    long keepMs,
    long drainLimitMs,
    long configurationLeaseMs,
    long targetExpiryMs,
    long callerStallMs,
    long targetStallMs,
    long abandonMs) {}
