package dev.caroblb.pacing;

import dev.caroblb.core.TargetRun;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Counts what happened to the requests that this instance sent to targets. */
public final class OutcomeCounter {
  private final Map<TargetRun, RunOutcomes> counts = new HashMap<>();

  /** Counts a request that was answered, well or slowly. */
  public void answered(TargetRun run, boolean slow) {
    add(new RunOutcomes(run, slow ? 0 : 1, slow ? 1 : 0, 0, 0));
  }

  /** Counts a request that failed. */
  public void failed(TargetRun run) {
    add(new RunOutcomes(run, 0, 0, 1, 0));
  }

  /** Counts a request that the target did not run. */
  public void rejected(TargetRun run) {
    add(new RunOutcomes(run, 0, 0, 0, 1));
  }

  private void add(RunOutcomes outcomes) {
    if (counts.containsKey(outcomes.run()) || counts.size() < RunOutcomes.MAX_OUTCOMES) {
      counts.merge(outcomes.run(), outcomes, RunOutcomes::plus);
    }
  }

  boolean isEmpty() {
    return counts.isEmpty();
  }

  /** Removes and returns the counts. */
  List<RunOutcomes> drain() {
    List<RunOutcomes> drained = List.copyOf(counts.values());
    counts.clear();
    return drained;
  }
}
