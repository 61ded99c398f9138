package dev.caroblb.http;

/**
 * Limits of a listener.
 *
 * @param maxLineBytes longest request line or header line, in bytes
 * @param maxHeaders most headers of a request
 * @param maxBodyBytes longest request body, in bytes
 * @param idleMs time in milliseconds after which a connection without traffic is closed
 * @param outputBytes answer bytes buffered for a caller that reads slowly
 * @param ioThreads threads of the reactor
 */
public record HttpLimits(
    int maxLineBytes,
    int maxHeaders,
    int maxBodyBytes,
    long idleMs,
    int outputBytes,
    int ioThreads) {
  public static final HttpLimits DEFAULTS =
      new HttpLimits(16_384, 64, 1_048_576, 120_000, 65_536, 2);
}
