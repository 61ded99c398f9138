package dev.caroblb.pacing;

import dev.caroblb.core.TargetRun;

/**
 * What happened to the requests that an instance sent to a target since its previous report.
 *
 * @param run the run of the target
 * @param answered requests that were answered well
 * @param slow requests that were answered, but not before half of their objective
 * @param failed requests that failed
 * @param rejected requests that the target did not run
 */
public record RunOutcomes(TargetRun run, long answered, long slow, long failed, long rejected) {
  /** Maximum number of elements in a message. */
  public static final int MAX_OUTCOMES = 1_024;

  /** Maximum count, so that sums do not overflow. */
  private static final long MAX_COUNT = 1_000_000;

  /** Whether the values can be counts; a message may hold any numbers. */
  public boolean valid() {
    return inRange(answered) && inRange(slow) && inRange(failed) && inRange(rejected);
  }

  private static boolean inRange(long count) {
    return count >= 0 && count <= MAX_COUNT;
  }

  /** Number of requests that the target did not serve. */
  long lost() {
    return failed + rejected;
  }

  long total() {
    return answered + slow + failed + rejected;
  }

  RunOutcomes plus(RunOutcomes other) {
    return new RunOutcomes(
        run,
        answered + other.answered,
        slow + other.slow,
        failed + other.failed,
        rejected + other.rejected);
  }
}
