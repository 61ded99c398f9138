package dev.caroblb.soak;

import java.util.Map;

/** A caller that repeats one kind of call until the run stops, and checks the responses. */
interface Workload {
  /**
   * Makes one call and checks its outcome. An unreachable instance is not a violation.
   *
   * @return whether the call succeeded; if not, the run pauses before the next call
   */
  boolean runOnce() throws Exception;

  /** Checks guarantees that can be verified only after all faults have ended. */
  void verifyFinalState() throws Exception;

  /** Counts of outcomes by name. The run adds up the counts of all its workloads. */
  Map<String, Long> counts();
}
