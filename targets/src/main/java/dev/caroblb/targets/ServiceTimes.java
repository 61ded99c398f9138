package dev.caroblb.targets;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;

/**
 * Times at a usual target of a service: the median over its targets in each load class. The median
 * holds while less than half of the targets are slow.
 */
final class ServiceTimes {
  /** Minimum number of targets for a median; with two, neither can be told to be the usual one. */
  private static final int MIN_TARGETS = 3;

  /** Minimum weight of the times of a target in a load class. */
  private static final double MIN_COUNT = 0.5;

  /** Number of observations that a target of usual speed is assumed to have had. */
  private static final double PRIOR = 40;

  private static final double MAX_RATIO = 5;

  private final double[] medianMs = new double[LoadClass.COUNT];
  private final long promptTokenMicros;

  ServiceTimes(Collection<ObservedTimes> targets) {
    for (int i = 0; i < LoadClass.COUNT; i++) {
      List<Double> means = new ArrayList<>();
      for (ObservedTimes times : targets) {
        if (times.count(i) >= MIN_COUNT) {
          means.add(times.meanMs(i));
        }
      }
      medianMs[i] = means.size() < MIN_TARGETS ? 0 : median(means);
    }
    promptTokenMicros = (long) (1_000 * msPerPromptToken(targets));
  }

  private static double msPerPromptToken(Collection<ObservedTimes> targets) {
    List<Double> rates = new ArrayList<>();
    for (ObservedTimes times : targets) {
      double totalMs = 0;
      double tokens = 0;
      for (int i = LoadClass.FIRST_EVENTS; i < LoadClass.LONGEST_PAUSES; i++) {
        if (times.count(i) >= MIN_COUNT) {
          totalMs += times.count(i) * times.meanMs(i);
          tokens += times.count(i) * LoadClass.promptTokens(i);
        }
      }
      if (tokens > 0) {
        rates.add(totalMs / tokens);
      }
    }
    return rates.size() < MIN_TARGETS ? 0 : median(rates);
  }

  private static double median(List<Double> values) {
    double[] sorted = values.stream().mapToDouble(Double::doubleValue).toArray();
    Arrays.sort(sorted);
    return (sorted[(sorted.length - 1) / 2] + sorted[sorted.length / 2]) / 2;
  }

  /** Time in microseconds per prompt token to the first event; 0 if not known. */
  long promptTokenMicros() {
    return promptTokenMicros;
  }

  /** Time at a target relative to a usual one at equal load, drawn towards 1. */
  double slowness(ObservedTimes times) {
    double weights = PRIOR;
    double weighted = PRIOR;
    for (int i = 0; i < LoadClass.LONGEST_PAUSES; i++) {
      if (medianMs[i] > 0 && times.count(i) > 0) {
        double ratio = times.meanMs(i) / medianMs[i];
        weights += times.weight(i);
        weighted += times.weight(i) * Math.max(1 / MAX_RATIO, Math.min(MAX_RATIO, ratio));
      }
    }
    return weighted / weights;
  }

  /**
   * Longest pauses that are expected within a second at a target, by class of its requests. Where
   * no median is known, that of the next lower class is used, or of the lowest known class.
   */
  List<Long> pausesMs(double slowness) {
    double last = 0;
    for (int i = LoadClass.LONGEST_PAUSES; i < LoadClass.COUNT && last == 0; i++) {
      last = medianMs[i];
    }
    List<Long> pauses = new ArrayList<>();
    for (int i = LoadClass.LONGEST_PAUSES; i < LoadClass.COUNT; i++) {
      last = medianMs[i] > 0 ? medianMs[i] : last;
      pauses.add(Math.round(slowness * last));
    }
    return pauses;
  }
}
