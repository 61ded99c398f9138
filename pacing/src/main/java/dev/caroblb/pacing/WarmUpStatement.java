package dev.caroblb.pacing;

import dev.caroblb.core.TargetRun;

/**
 * What is known of the warm-up of a target, as instances pass it on.
 *
 * @param run the run of the target
 * @param leftMs time in milliseconds, from the observation on, for which the target stays cold
 * @param ageMs time in milliseconds since the observation
 */
public record WarmUpStatement(TargetRun run, long leftMs, long ageMs) {
  /** Maximum number of statements in a message. */
  public static final int MAX_STATEMENTS = 1_024;

  /** Time in milliseconds for which the target stays cold from now on. */
  long leftNowMs() {
    return Math.max(0, leftMs - ageMs);
  }

  /** Whether the values can come from a target; a message may hold any numbers. */
  public boolean valid() {
    return leftMs >= 0 && ageMs >= 0;
  }
}
