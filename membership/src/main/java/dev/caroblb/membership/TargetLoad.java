package dev.caroblb.membership;

/**
 * Load of a target as it reported it.
 *
 * @param running generations or calls that run
 * @param waiting generations or calls that wait inside the target
 * @param usedBlocks memory blocks in use
 * @param totalBlocks memory blocks in total, 0 for a plain service
 * @param preemptions preemptions since the target started
 * @param reportedAtMs time of the report on the target's own clock; only its differences within one
 *     incarnation mean something elsewhere
 */
public record TargetLoad(
    long running,
    long waiting,
    long usedBlocks,
    long totalBlocks,
    long preemptions,
    long reportedAtMs) {
  public TargetLoad {
    if (running < 0 || waiting < 0 || usedBlocks < 0 || totalBlocks < 0 || preemptions < 0) {
      throw new IllegalArgumentException("load has a negative count; report counts from 0 up");
    }
  }
}
