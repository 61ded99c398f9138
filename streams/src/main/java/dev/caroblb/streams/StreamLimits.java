package dev.caroblb.streams;

/**
 * Time limits of running calls, in milliseconds.
 *
 * @param engineStallMs silence of an engine after which its generation is resumed on a new link
 * @param callerStallMs time after which a caller that reads nothing is given up
 * @param abandonMs time for which a generation is kept after its caller went away
 */
public record StreamLimits(long engineStallMs, long callerStallMs, long abandonMs) {
  public static final StreamLimits DEFAULTS = new StreamLimits(5_000, 30_000, 10_000);
}
