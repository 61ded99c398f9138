package dev.caroblb.placement;

/**
 * Load reported by a target.
 *
 * @param running generations that hold memory
 * @param waiting generations that wait for memory
 * @param usedBlocks blocks of memory in use
 * @param totalBlocks total blocks of memory
 * @param preemptions generations preempted since the target started
 * @param ageMs age of the report when it arrived at this instance
 */
public record LoadReport(
    int running, int waiting, int usedBlocks, int totalBlocks, long preemptions, long ageMs) {
  /** Whether the values are inconsistent, which counts as evidence against the target. */
  public boolean inconsistent() {
    return running < 0 || waiting < 0 || usedBlocks < 0 || usedBlocks > totalBlocks || ageMs < 0;
  }
}
