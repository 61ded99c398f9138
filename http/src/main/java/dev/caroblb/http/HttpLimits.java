package dev.caroblb.http;

/**
 * Limits of a listener.
 *
 * @param maxLineBytes maximum length of the request line and of a header line, in bytes
 * @param maxHeaders maximum number of headers of a request
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param idleTimeoutMs idle time in milliseconds after which a connection that is not waiting for a
 *     response is closed
 * @param maxOutputBytes maximum number of response bytes buffered for a slow caller
 * @param ioThreads number of reactor threads
 * @param backlog accept backlog of the listening socket
 * @param maxWaiting maximum number of connections without a request in progress; beyond it the
 *     oldest of them is closed
 */
public record HttpLimits(
    int maxLineBytes,
    int maxHeaders,
    int maxBodyBytes,
    long idleTimeoutMs,
    int maxOutputBytes,
    int ioThreads,
    int backlog,
    int maxWaiting) {
  public static final int DEFAULT_MAX_WAITING = 512;

  public static final HttpLimits DEFAULTS =
      new HttpLimits(16_384, 64, 1_048_576, 30_000, 65_536, 2, 256);

  /** With the default maximum of waiting connections. */
  public HttpLimits(
      int maxLineBytes,
      int maxHeaders,
      int maxBodyBytes,
      long idleTimeoutMs,
      int maxOutputBytes,
      int ioThreads,
      int backlog) {
    this(
        maxLineBytes,
        maxHeaders,
        maxBodyBytes,
        idleTimeoutMs,
        maxOutputBytes,
        ioThreads,
        backlog,
        DEFAULT_MAX_WAITING);
  }

  /** The limits that apply to requests as long as no others are set. */
  public RequestLimits requestLimits() {
    return new RequestLimits(maxLineBytes * maxHeaders, maxBodyBytes, idleTimeoutMs, idleTimeoutMs);
  }
}
