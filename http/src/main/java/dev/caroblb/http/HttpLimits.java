package dev.caroblb.http;

/**
 * Limits of a listener.
 *
 * @param maxLineBytes longest request line or header line, in bytes
 * @param maxHeaders most headers of a request
 * @param maxBodyBytes longest request body, in bytes
 * @param requestTimeMs time in milliseconds without traffic after which a connection that is not
 *     waiting for an answer is closed
 * @param outputBytes answer bytes buffered for a caller that reads slowly
 * @param ioThreads threads of the reactor
 * @param backlog connections that may wait to be accepted
 */
public record HttpLimits(
    int maxLineBytes,
    int maxHeaders,
    int maxBodyBytes,
    long requestTimeMs,
    int outputBytes,
    int ioThreads,
    int backlog) {
  public static final HttpLimits DEFAULTS =
      new HttpLimits(16_384, 64, 1_048_576, 30_000, 65_536, 2, 256);
}
