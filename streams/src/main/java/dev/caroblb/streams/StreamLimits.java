package dev.caroblb.streams;

/**
 * Time limits of running calls, in milliseconds.
 *
 * @param engineStallMs time without events after which a generation is resumed on a new link
 * @param callerStallMs time after which a call whose caller reads nothing is ended
 * @param abandonMs time for which a generation is kept after its caller disconnected
 */
public record StreamLimits(long engineStallMs, long callerStallMs, long abandonMs) {
  public static final StreamLimits DEFAULTS = new StreamLimits(5_000, 30_000, 10_000);
}
