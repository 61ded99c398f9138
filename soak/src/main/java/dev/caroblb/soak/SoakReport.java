package dev.caroblb.soak;

import java.util.List;

/**
 * What a run showed.
 *
 * @param seed seed of the run
 * @param counts counts of outcomes, and the time to recover
 * @param violations the promises that were seen broken
 * @param faults what was injected and when
 */
record SoakReport(long seed, List<String> counts, List<String> violations, List<String> faults) {
  @Override
  public String toString() {
    return "event=soak seed="
        + seed
        + " violations="
        + violations.size()
        + " "
        + String.join(" ", counts);
  }
}
