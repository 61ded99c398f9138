package dev.caroblb.targets;

import java.util.List;

/** Times that all instances measured at one run of a target, weighted by their age. */
final class ObservedTimes {
  /** Time in milliseconds after which an observation counts half. */
  private static final double HALF_LIFE_MS = 10_000;

  /**
   * Maximum weight of the observations in one report. A faulty instance then has no more influence
   * on the speed of a target than a few others that use it.
   */
  private static final double MAX_REPORT_EVIDENCE = 32;

  /** Maximum weight of all pauses and first events, so that new observations always count. */
  private static final double MAX_EVIDENCE = 400;

  /** A stream has one first event and many pauses; both should be able to show a slow target. */
  private static final double FIRST_EVENT_WEIGHT = 8;

  private final double[] counts = new double[LoadClass.COUNT];
  private final double[] totalsMs = new double[LoadClass.COUNT];
  private long agedAtMs;
  private boolean outsideBand;

  ObservedTimes(long nowMs) {
    agedAtMs = nowMs;
  }

  /** Adds the observations of one report; samples that cannot be true are ignored. */
  void add(List<SpeedSample> samples, long nowMs) {
    age(nowMs);
    List<SpeedSample> usable =
        samples.stream().limit(LoadClass.COUNT).filter(SpeedSample::plausible).toList();
    double reported = 0;
    for (SpeedSample sample : usable) {
      reported += weight(sample.loadClass(), sample.count());
    }
    double scale = Math.min(1, MAX_REPORT_EVIDENCE / Math.max(1, reported));
    for (SpeedSample sample : usable) {
      boolean longest = LoadClass.isLongestPause(sample.loadClass());
      double count = longest ? 1 : scale * sample.count();
      counts[sample.loadClass()] += count;
      totalsMs[sample.loadClass()] += count * sample.meanMs();
    }
    double evidence = 0;
    for (int i = 0; i < LoadClass.LONGEST_PAUSES; i++) {
      evidence += weight(i);
    }
    if (evidence > MAX_EVIDENCE) {
      scale(MAX_EVIDENCE / evidence);
    }
  }

  void age(long nowMs) {
    if (nowMs > agedAtMs) {
      scale(Math.pow(0.5, (nowMs - agedAtMs) / HALF_LIFE_MS));
      agedAtMs = nowMs;
    }
  }

  private void scale(double factor) {
    for (int i = 0; i < LoadClass.COUNT; i++) {
      counts[i] *= factor;
      totalsMs[i] *= factor;
    }
  }

  double count(int loadClass) {
    return counts[loadClass];
  }

  double meanMs(int loadClass) {
    return totalsMs[loadClass] / counts[loadClass];
  }

  /** Weight of a load class in the estimate of the speed. */
  double weight(int loadClass) {
    return weight(loadClass, counts[loadClass]);
  }

  private static double weight(int loadClass, double count) {
    if (LoadClass.isLongestPause(loadClass)) {
      return 0;
    }
    return count * (LoadClass.isFirstEvent(loadClass) ? FIRST_EVENT_WEIGHT : 1);
  }

  boolean outsideBand() {
    return outsideBand;
  }

  void setOutsideBand(boolean value) {
    outsideBand = value;
  }
}
