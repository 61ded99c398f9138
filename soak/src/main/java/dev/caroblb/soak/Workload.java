package dev.caroblb.soak;

import java.util.Map;

/** One kind of caller that works until it is told to stop, and checks what it gets. */
interface Workload {
  /**
   * Makes one call and checks its outcome; instances that cannot be reached are no fault. Returns
   * whether the call was served, so that a caller that was not waits before the next one.
   */
  boolean once() throws Exception;

  /** Checks what can only be told once all faults are over. */
  void finish() throws Exception;

  /** Counts of outcomes by name; those of equal names are added up. */
  Map<String, Long> counts();
}
