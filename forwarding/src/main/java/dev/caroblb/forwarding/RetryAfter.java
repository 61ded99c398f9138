package dev.caroblb.forwarding;

import dev.caroblb.core.RefusalReason;

/**
 * Delay after which a refused caller should retry. Callers retry only a few times, so a delay that
 * is too short loses the request, and one that is too long delays the response.
 */
final class RetryAfter {
  /** Another instance can accept the request immediately. */
  private static final long OTHER_INSTANCE_MS = 50;

  /** A new instance gets its routing table at the latest after a leader election. */
  private static final long ROUTING_TABLE_MS = 1_500;

  /** Targets announce themselves about once a second. */
  private static final long TARGET_ANNOUNCEMENT_MS = 1_000;

  private static final long DEFAULT_MS = 500;

  private RetryAfter() {}

  /** Returns the delay in milliseconds for a refusal reason. */
  static long delayMs(RefusalReason reason) {
    return switch (reason) {
      case DRAINING, STOPPING -> OTHER_INSTANCE_MS;
      case NO_CONFIGURATION -> ROUTING_TABLE_MS;
      case NO_TARGET -> TARGET_ANNOUNCEMENT_MS;
      default -> DEFAULT_MS;
    };
  }
}
