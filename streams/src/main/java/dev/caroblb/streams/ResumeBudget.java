package dev.caroblb.streams;

import java.util.ArrayDeque;

/** Limits how often a generation is resumed, so that a failing engine is not retried forever. */
final class ResumeBudget {
  private static final int MAX_RESUMES = 5;
  private static final long WINDOW_MS = 30_000;

  private final ArrayDeque<Long> usedAtMs = new ArrayDeque<>(MAX_RESUMES);

  /** Uses one resume; false when the time window has none left. */
  boolean tryAcquire(long nowMs) {
    while (!usedAtMs.isEmpty() && nowMs - usedAtMs.peekFirst() >= WINDOW_MS) {
      usedAtMs.removeFirst();
    }
    if (usedAtMs.size() >= MAX_RESUMES) {
      return false;
    }
    usedAtMs.addLast(nowMs);
    return true;
  }
}
