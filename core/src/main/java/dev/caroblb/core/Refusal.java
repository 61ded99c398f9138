package dev.caroblb.core;

/** Answer to a call that does not complete: the reason, a message, and a time to wait. */
public record Refusal(RefusalReason reason, String message, long retryAfterMs) {
  /** A refusal whose message is the remedy of its reason. */
  public static Refusal of(RefusalReason reason) {
    return new Refusal(reason, reason.remedy(), 0);
  }

  /** A refusal with a message that names the cause, followed by the remedy. */
  public static Refusal of(RefusalReason reason, String cause) {
    return new Refusal(reason, cause + "; " + reason.remedy(), 0);
  }

  /** The same refusal with a time after which the caller may try again. */
  public Refusal retryAfter(long waitMs) {
    return new Refusal(reason, message, waitMs);
  }
}
