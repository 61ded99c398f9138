package dev.caroblb.entryselection;

import dev.caroblb.membership.InstanceRecord;
import dev.caroblb.membership.InstanceResources;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;

/**
 * Relative numbers of callers that entries should get, between 0 for a full entry and 1. An entry
 * that reports no resources counts as an uncrowded one of the mean size.
 */
final class EntryWeights {
  /** Part that is left from which an entry counts as uncrowded, in percent. */
  private static final double UNCROWDED_PERCENT = 60;

  /** Smallest weight of an entry that has something left, so that none is starved of callers. */
  private static final double MIN_WEIGHT = 0.1;

  private final List<Double> weights = new ArrayList<>();

  EntryWeights(List<InstanceRecord> entries) {
    double maxCores = max(entries, true);
    double maxLink = max(entries, false);
    List<OptionalDouble> sizes = new ArrayList<>();
    for (InstanceRecord entry : entries) {
      sizes.add(
          entry.resources().isPresent()
              ? OptionalDouble.of(size(entry.resources().get(), maxCores, maxLink))
              : OptionalDouble.empty());
    }
    double meanSize =
        sizes.stream()
            .filter(OptionalDouble::isPresent)
            .mapToDouble(OptionalDouble::getAsDouble)
            .average()
            .orElse(1);
    for (int i = 0; i < entries.size(); i++) {
      weights.add(sizes.get(i).orElse(meanSize) * free(entries.get(i)));
    }
    normalize();
  }

  private static double max(List<InstanceRecord> entries, boolean cores) {
    double max = 1;
    for (InstanceRecord entry : entries) {
      if (entry.resources().isPresent()) {
        InstanceResources resources = entry.resources().get();
        long size = cores ? resources.milliCores() : resources.linkKbps();
        max = Math.max(max, (double) size);
      }
    }
    return max;
  }

  private static double size(InstanceResources resources, double maxCores, double maxLink) {
    return Math.min(resources.milliCores() / maxCores, resources.linkKbps() / maxLink);
  }

  private static double free(InstanceRecord entry) {
    return entry
        .resources()
        .map(resources -> Math.min(1, resources.freePercent() / UNCROWDED_PERCENT))
        .orElse(1.0);
  }

  private void normalize() {
    double max = weights.stream().mapToDouble(weight -> weight).max().orElse(1);
    weights.replaceAll(weight -> weight <= 0 ? 0 : Math.max(MIN_WEIGHT, weight / max));
  }

  double of(int index) {
    return weights.get(index);
  }
}
