package dev.caroblb.pacing;

/** Recognises a target that fails most of its requests. */
final class FailureWindow {
  private static final long WINDOW_MS = 1_000;

  /** Number of failures in a window from which a target counts as failing. */
  private static final long MIN_FAILED = 3;

  private long startMs;
  private long total;
  private long failed;

  FailureWindow(long nowMs) {
    startMs = nowMs;
  }

  /** Adds outcomes; returns whether the target fails at least half of its requests. */
  boolean add(RunOutcomes outcomes, long nowMs) {
    if (nowMs - startMs >= WINDOW_MS) {
      startMs = nowMs;
      total = 0;
      failed = 0;
    }
    total += outcomes.total();
    failed += outcomes.failed();
    return failed >= MIN_FAILED && 2 * failed >= total;
  }
}
