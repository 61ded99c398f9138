package dev.caroblb.targets;

import dev.caroblb.core.TargetRun;
import java.util.List;

/**
 * Learned speed of one run of a target. Values outside their range, which only a faulty peer sends,
 * are limited.
 *
 * @param run the run of the target
 * @param permille speed relative to the median of its service at equal load, in thousandths; 1,000
 *     within the dead band
 * @param promptTokenMicros time in microseconds from the send to the first event per prompt token
 *     that needs prefill, at a usual target of the service; 0 if not known
 * @param pausesMs longest pause in milliseconds that is expected within a second, by class of the
 *     number of requests; empty for targets of usual speed
 */
public record TargetSpeed(
    TargetRun run, int permille, long promptTokenMicros, List<Long> pausesMs) {
  /** Speed of a usual target, in thousandths. */
  public static final int USUAL = 1_000;

  static final int MIN_PERMILLE = 200;
  static final int MAX_PERMILLE = 3_000;
  private static final long MAX_PROMPT_TOKEN_MICROS = 20_000;
  private static final long MAX_PAUSE_MS = 60_000;

  public TargetSpeed {
    permille = (int) limited(permille, MIN_PERMILLE, MAX_PERMILLE);
    promptTokenMicros = limited(promptTokenMicros, 0, MAX_PROMPT_TOKEN_MICROS);
    pausesMs = pausesMs.stream().map(ms -> limited(ms, 0, MAX_PAUSE_MS)).toList();
  }

  private static long limited(long value, long min, long max) {
    return Math.max(min, Math.min(max, value));
  }

  public boolean usual() {
    return permille == USUAL;
  }

  /** Time per unit of work, relative to a usual target. */
  public double slowness() {
    return (double) USUAL / permille;
  }

  /** Longest pause that is expected with this number of requests; 0 if not known. */
  long pauseMs(long requests) {
    int index = Math.min(LoadClass.byRequests(requests), pausesMs.size() - 1);
    return index < 0 ? 0 : pausesMs.get(index);
  }

  /** Expected time from the send to the first event after the prefill of these prompt tokens. */
  double firstEventMs(long promptTokens) {
    return slowness() * promptTokens * promptTokenMicros / 1_000;
  }
}
