package dev.caroblb.pacing;

import dev.caroblb.core.TargetRun;
import java.util.Optional;

/**
 * What a target said last about its request limit, as instances pass it on.
 *
 * @param run the run of the target
 * @param perSecond requests per second that it takes from all instances together; empty if it no
 *     longer names a limit
 * @param ageMs time in milliseconds since the statement
 */
public record LimitStatement(TargetRun run, Optional<Double> perSecond, long ageMs) {
  /** Maximum number of statements in a message. */
  public static final int MAX_STATEMENTS = 1_024;

  /** Whether the values can come from a target; a message may hold any numbers. */
  public boolean valid() {
    return ageMs >= 0 && perSecond.filter(rate -> !(rate >= 0)).isEmpty();
  }
}
