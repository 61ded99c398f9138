package dev.caroblb.routing;

/**
 * Size limits and timeouts for connections of callers.
 *
 * @param maxHeaderBytes maximum size of a request head
 * @param maxBodyBytes maximum size of a request body
 * @param headerTimeoutMs time in milliseconds to receive a complete request head
 * @param idleTimeoutMs time in milliseconds that a connection may be idle
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
  /** Limits as long as a configuration sets no others. */
  public static final CallerLimits DEFAULTS = new CallerLimits(16_384, 4 << 20, 3_000, 15_000);
}
