package dev.caroblb.idempotency;

import dev.caroblb.core.Refusal;
import dev.caroblb.core.RefusalReason;

/** Refusals sent to the caller for each state of a key. */
final class RefusalTexts {
  private RefusalTexts() {}

  static Refusal of(KeyRefusal reason) {
    return switch (reason) {
      case REUSED ->
          Refusal.of(RefusalReason.KEY_REUSED, "the key was already used for a different call");
      case EXPIRED -> Refusal.of(RefusalReason.KEY_EXPIRED, "the key is older than 24 h");
      case IN_FUTURE ->
          Refusal.of(
              RefusalReason.MALFORMED, "the time in the key is more than 5 min in the future");
      case FULL ->
          Refusal.of(RefusalReason.KEY_CAPACITY, "the key group has no capacity for another key");
      case ALREADY_RELEASED -> held();
    };
  }

  static Refusal held() {
    return Refusal.of(
        RefusalReason.ALREADY_RESERVED, "an earlier attempt with this key has no outcome");
  }

  static Refusal outcomeNotStored(int status) {
    return Refusal.of(
        RefusalReason.ALREADY_RESERVED,
        "the call ran with status " + status + ", but its response exceeded a storage limit");
  }

  /** An earlier attempt with the key may have run, so "not run" must not be reported. */
  static Refusal noAnswer() {
    return Refusal.of(
        RefusalReason.DEADLINE_AFTER_START, "the key group did not answer before the deadline");
  }
}
