package dev.caroblb.systemtests;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;

/** Polls for a condition that depends on other processes. */
final class Wait {
  private static final long INTERVAL_MS = 25;

  private Wait() {}

  /**
   * Polls until the condition holds. A check that fails with an {@link java.io.IOException} counts
   * as not holding.
   *
   * @return the elapsed time in milliseconds
   */
  static long until(String description, long timeoutMs, Callable<Boolean> condition)
      throws Exception {
    long startedNanos = System.nanoTime();
    Exception lastFailure = null;
    while (elapsedMs(startedNanos) < timeoutMs) {
      try {
        if (condition.call()) {
          return elapsedMs(startedNanos);
        }
      } catch (java.io.IOException e) {
        lastFailure = e;
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(INTERVAL_MS));
    }
    TimeoutException timeout =
        new TimeoutException("condition not met within " + timeoutMs + " ms: " + description);
    if (lastFailure != null) {
      timeout.addSuppressed(lastFailure);
    }
    throw timeout;
  }

  static long elapsedMs(long startedNanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
  }
}
