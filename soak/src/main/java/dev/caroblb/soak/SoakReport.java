package dev.caroblb.soak;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * What a run showed.
 *
 * @param seed seed of the run
 * @param counts counts of outcomes, and the time to recover
 * @param violations the promises that were seen broken
 * @param faults what was injected and when
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
