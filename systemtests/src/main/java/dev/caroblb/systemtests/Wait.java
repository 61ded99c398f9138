package dev.caroblb.systemtests;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;

/** Waits for a condition that only another process can bring about. */
final class Wait {
  private static final long INTERVAL_MS = 25;

  private Wait() {}

  /** Checks until the condition holds; returns the time that it took in milliseconds. */
  static long until(String what, long timeoutMs, Callable<Boolean> condition) throws Exception {
    long startedNanos = System.nanoTime();
    Exception last = null;
    while (elapsedMs(startedNanos) < timeoutMs) {
      try {
        if (condition.call()) {
          return elapsedMs(startedNanos);
        }
      } catch (java.io.IOException e) {
        last = e;
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(INTERVAL_MS));
    }
    TimeoutException timeout = new TimeoutException("not within " + timeoutMs + " ms: " + what);
    if (last != null) {
      timeout.addSuppressed(last);
    }
    throw timeout;
  }

  static long elapsedMs(long startedNanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
  }
}
