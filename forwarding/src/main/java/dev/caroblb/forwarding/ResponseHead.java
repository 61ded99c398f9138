package dev.caroblb.forwarding;

/**
 * Head of a target's response.
 *
 * @param status HTTP status code
 * @param refused whether the target states that it did not run the request
 * @param sentByTarget whether the response is verified to be the target's own response to this
 *     request
 * @param stream whether the body is an event stream
 * @param notice what the target says about itself
 * @param fields header fields, which only the adapters read
 */
public record ResponseHead(
    int status,
    boolean refused,
    boolean sentByTarget,
    boolean stream,
    TargetNotice notice,
    ResponseFields fields) {
  private static final int FIRST_ERROR = 400;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int REQUEST_TIMEOUT = 408;
  private static final int MISDIRECTED_REQUEST = 421;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;

  /** The head of a response in which the target says nothing about itself. */
  public ResponseHead(
      int status, boolean refused, boolean sentByTarget, boolean stream, ResponseFields fields) {
    this(status, refused, sentByTarget, stream, TargetNotice.NONE, fields);
  }

  /**
   * Whether callers take the status to mean that the request did not run. A target that ran the
   * request may send such a status nevertheless.
   */
  boolean claimsNotRun() {
    return status == REQUEST_TIMEOUT
        || status == MISDIRECTED_REQUEST
        || status == TOO_MANY_REQUESTS
        || status == SERVICE_UNAVAILABLE;
  }

  public boolean success() {
    return status < FIRST_ERROR;
  }

  public boolean serverError() {
    return status >= FIRST_SERVER_ERROR;
  }
}
