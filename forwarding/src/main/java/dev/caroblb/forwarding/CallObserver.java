package dev.caroblb.forwarding;

import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.RetryReason;

/** Counts what the forwarding duty decides. */
public interface CallObserver {
  void refused(RefusalReason reason);

  void retried(RetryReason reason);

  /** An answer, or the first event of a stream, left after the given time in milliseconds. */
  void answered(long elapsedMs);

  /** Time in milliseconds between two parts of a stream. */
  void paused(long pauseMs);
}
