package dev.caroblb.forwarding;

/**
 * Beginning of a target's answer.
 *
 * @param status status code of the answer
 * @param refused whether the target states that it did not run the request
 * @param genuine whether the answer is certainly the target's own answer to this request
 * @param stream whether a stream of events follows
 * @param fields the rest of the head, which only the adapters read
 */
public record AnswerHead(
    int status, boolean refused, boolean genuine, boolean stream, AnswerFields fields) {
  private static final int FIRST_ERROR = 400;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int REQUEST_TIMEOUT = 408;
  private static final int MISDIRECTED_REQUEST = 421;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;

  /**
   * Whether the status tells a caller that nothing ran. A target that ran the request may have sent
   * it all the same.
   */
  boolean promisesNotRun() {
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
