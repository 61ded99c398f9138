package dev.caroblb.idempotency;

import dev.caroblb.core.Payload;

/**
 * Stored response of a target, returned when the caller sends the same key again.
 *
 * @param status HTTP status
 * @param contentType media type of the body, may be empty
 * @param body response body; empty if it was not stored
 * @param complete whether the body was stored
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

  /** Creates an outcome; the body is omitted if it, or its content type, is too large to store. */
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
