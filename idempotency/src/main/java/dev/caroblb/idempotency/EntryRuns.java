package dev.caroblb.idempotency;

import dev.caroblb.core.InstanceId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Assigns an int to each pair of entry and incarnation, so that key records store the holder as an
 * int.
 */
final class EntryRuns {
  private record Run(InstanceId entry, long incarnation) {}

  private final List<Run> runs = new ArrayList<>();
  private final Map<Run, Integer> numbers = new HashMap<>();

  /** Number of the attempt's entry and incarnation, assigned on first use and starting at 1. */
  int runNumber(Attempt attempt) {
    Run run = new Run(attempt.entry(), attempt.incarnation());
    Integer known = numbers.get(run);
    if (known != null) {
      return known;
    }
    runs.add(run);
    numbers.put(run, runs.size());
    return runs.size();
  }

  Attempt attempt(int runNumber, long call) {
    Run run = runs.get(runNumber - 1);
    return new Attempt(run.entry(), run.incarnation(), call);
  }
}
