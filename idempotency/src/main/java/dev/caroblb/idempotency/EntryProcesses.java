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
final class EntryProcesses {
  private record EntryProcess(InstanceId entry, long incarnation) {}

  private final List<EntryProcess> processes = new ArrayList<>();
  private final Map<EntryProcess, Integer> numbers = new HashMap<>();

  /** Number of the attempt's entry and incarnation, assigned on first use and starting at 1. */
  int processNumber(Attempt attempt) {
    EntryProcess process = new EntryProcess(attempt.entry(), attempt.incarnation());
    Integer known = numbers.get(process);
    if (known != null) {
      return known;
    }
    processes.add(process);
    numbers.put(process, processes.size());
    return processes.size();
  }

  Attempt attempt(int processNumber, long call) {
    EntryProcess process = processes.get(processNumber - 1);
    return new Attempt(process.entry(), process.incarnation(), call);
  }
}
