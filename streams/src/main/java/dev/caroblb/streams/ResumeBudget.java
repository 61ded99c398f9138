package dev.caroblb.streams;

import java.util.ArrayDeque;

/** Limits how often one generation is resumed, so that a failing engine is not asked for ever. */
final class ResumeBudget {
  private static final int MAX_RESUMES = 5;
  private static final long WINDOW_MS = 30_000;

  private final ArrayDeque<Long> usedAtMs = new ArrayDeque<>(MAX_RESUMES);

  /** Uses one resume if the window has one left. */
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
