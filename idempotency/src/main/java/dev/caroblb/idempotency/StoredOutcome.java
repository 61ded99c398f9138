package dev.caroblb.idempotency;

import dev.caroblb.core.Payload;

/**
 * Answer of a target, kept to be returned to a resend.
 *
 * @param status HTTP status
 * @param contentType media type of the body, may be empty
 * @param body body of the answer; empty when it was not kept
 * @param complete whether the body was kept
 */
public record StoredOutcome(int status, String contentType, Payload body, boolean complete) {
  public static final int MAX_BODY_BYTES = 64 * 1024;
  public static final int MAX_CONTENT_TYPE_LENGTH = 127;

  public StoredOutcome {
    if (status < 100 || status > 999) {
      throw new IllegalArgumentException("status " + status + " is not an HTTP status");
    }
    if (body.size() > MAX_BODY_BYTES || contentType.length() > MAX_CONTENT_TYPE_LENGTH) {
      throw new IllegalArgumentException("outcome is too large; use StoredOutcome.of");
    }
  }

  /** An outcome whose body is left out when it is larger than can be kept. */
  public static StoredOutcome of(int status, String contentType, Payload body) {
    if (body.size() > MAX_BODY_BYTES || contentType.length() > MAX_CONTENT_TYPE_LENGTH) {
      return new StoredOutcome(status, "", Payload.empty(), false);
    }
    return new StoredOutcome(status, contentType, body, true);
  }

  StoredOutcome withoutBody() {
    return new StoredOutcome(status, "", Payload.empty(), false);
  }
}
