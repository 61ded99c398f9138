package dev.caroblb.forwarding;

import dev.caroblb.core.RefusalReason;

/**
 * When a refused caller should try again. Callers try only a few times, so a time that is too short
 * loses the request, and one that is too long makes its answer late.
 */
final class RetryAfter {
  /** Another instance takes the request at once. */
  private static final long ELSEWHERE_MS = 50;

  /** An instance that has just started gets its routing table after an election at the latest. */
  private static final long TABLE_MS = 1_500;

  /** Targets announce themselves about once a second. */
  private static final long TARGET_MS = 1_000;

  private static final long OTHERWISE_MS = 500;

  private RetryAfter() {}

  /** Time in milliseconds for a reason. */
  static long ms(RefusalReason reason) {
    return switch (reason) {
      case DRAINING, STOPPING -> ELSEWHERE_MS;
      case NO_CONFIGURATION -> TABLE_MS;
      case NO_TARGET -> TARGET_MS;
      default -> OTHERWISE_MS;
    };
  }
}
