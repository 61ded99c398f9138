package dev.caroblb.idempotency;

import dev.caroblb.core.Refusal;
import dev.caroblb.core.RefusalReason;

/** Refusals that follow from the state of a key. */
final class RefusalTexts {
  private RefusalTexts() {}

  static Refusal of(KeyRefusal reason) {
    return switch (reason) {
      case REUSED -> Refusal.of(RefusalReason.KEY_REUSED, "the key belongs to a different call");
      case EXPIRED -> Refusal.of(RefusalReason.KEY_EXPIRED, "the key is older than 24 h");
      case AHEAD ->
          Refusal.of(RefusalReason.MALFORMED, "the time in the key is more than 5 min ahead");
      case FULL -> Refusal.of(RefusalReason.KEY_CAPACITY, "no room for another key");
      case WITHDRAWN -> held();
    };
  }

  static Refusal held() {
    return Refusal.of(RefusalReason.ALREADY_RESERVED, "an earlier send of the call has no outcome");
  }

  static Refusal notKept(int status) {
    return Refusal.of(
        RefusalReason.ALREADY_RESERVED,
        "the call ran with status " + status + ", its answer was too large to keep");
  }

  /** An earlier send of the key may have run, so "not run" cannot be told. */
  static Refusal noAnswer() {
    return Refusal.of(
        RefusalReason.DEADLINE_AFTER_START, "the records of the key gave no answer in time");
  }
}
