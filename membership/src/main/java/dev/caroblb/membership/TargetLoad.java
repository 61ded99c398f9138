package dev.caroblb.membership;

/**
 * Load of a target, as reported by the target.
 *
 * @param running number of running generations or calls
 * @param waiting number of generations or calls queued inside the target
 * @param usedBlocks memory blocks in use
 * @param totalBlocks memory blocks in total, 0 for a plain service
 * @param preemptions preemptions since the target started
 * @param reportedAtMs time of the report on the clock of the target; elsewhere only differences
 *     within one incarnation are meaningful
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
      throw new IllegalArgumentException(
          "load has a negative count; all counts must be 0 or greater");
    }
  }
}
