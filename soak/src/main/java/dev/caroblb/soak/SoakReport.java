package dev.caroblb.soak;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Result of one run.
 *
 * @param seed seed of the run
 * @param counts counts of outcomes, and the recovery time
 * @param violations violated guarantees
 * @param faults faults with the times at which they began and ended
 */
record SoakReport(
    long seed, Map<String, Long> counts, List<String> violations, List<String> faults) {
  @Override
  public String toString() {
    return "event=soak seed="
        + seed
        + " violations="
        + violations.size()
        + counts.entrySet().stream()
            .map(count -> " " + count.getKey() + "=" + count.getValue())
            .collect(Collectors.joining());
  }
}
