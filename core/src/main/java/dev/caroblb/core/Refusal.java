package dev.caroblb.core;

/**
 * Error response to a call that does not complete.
 *
 * @param reason reason that the caller can evaluate
 * @param message explanation for a person
 * @param retryAfterMs time after which the caller may try again; 0 if none is given
 */
public record Refusal(RefusalReason reason, String message, long retryAfterMs) {
  /** A refusal whose message is the remedy of its reason. */
  public static Refusal of(RefusalReason reason) {
    return new Refusal(reason, reason.remedy(), 0);
  }

  /** A refusal with a message that names the cause, followed by the remedy. */
  public static Refusal of(RefusalReason reason, String cause) {
    return new Refusal(reason, cause + "; " + reason.remedy(), 0);
  }

  /** A copy with a time after which the caller may try again. */
  public Refusal retryAfter(long waitMs) {
    return new Refusal(reason, message, waitMs);
  }
}
