package dev.caroblb.idempotency;

import dev.caroblb.core.InstanceId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Numbers the runs of entries, so that a record names its holder by an int. */
final class Holders {
  private record Run(InstanceId entry, long incarnation) {}

  private final List<Run> runs = new ArrayList<>();
  private final Map<Run, Integer> numbers = new HashMap<>();

  /** Number of the run that an attempt belongs to; the first is 1. */
  int number(Attempt attempt) {
    Run run = new Run(attempt.entry(), attempt.incarnation());
    Integer known = numbers.get(run);
    if (known != null) {
      return known;
    }
    runs.add(run);
    numbers.put(run, runs.size());
    return runs.size();
  }

  Attempt attempt(int number, long call) {
    Run run = runs.get(number - 1);
    return new Attempt(run.entry(), run.incarnation(), call);
  }
}
