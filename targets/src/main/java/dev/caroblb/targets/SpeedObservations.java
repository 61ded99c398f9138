package dev.caroblb.targets;

import dev.caroblb.core.TargetRun;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Collects what this instance measures at targets until it is reported. An event costs one map
 * look-up and two additions, because instances are small and relay thousands of events per second.
 */
public final class SpeedObservations {
  /** Interval in milliseconds between two reports, which keeps them small. */
  static final long REPORT_INTERVAL_MS = 1_000;

  /**
   * Time in milliseconds since the last report after which observations are discarded, because they
   * were collected without a control instance and their age is not known.
   */
  private static final long MAX_INTERVAL_MS = 5_000;

  /** Maximum number of target runs in one report; exceeds the number that an instance uses. */
  private static final int MAX_RUNS = 512;

  private static final class Counters {
    private final int[] counts = new int[LoadClass.COUNT];
    private final long[] totalsMs = new long[LoadClass.COUNT];
    private int longestClass = -1;
    private long longestMs;

    private void add(int loadClass, long elapsedMs) {
      counts[loadClass]++;
      totalsMs[loadClass] += elapsedMs;
    }

    private List<SpeedSample> samples() {
      if (longestClass >= 0) {
        add(longestClass, longestMs);
      }
      List<SpeedSample> samples = new ArrayList<>();
      for (int i = 0; i < counts.length; i++) {
        if (counts[i] > 0) {
          samples.add(new SpeedSample(i, counts[i], totalsMs[i]));
        }
      }
      return samples;
    }
  }

  private final Map<TargetRun, Counters> counters = new HashMap<>();
  private long lastTakenMs = Long.MIN_VALUE / 2;

  /** Records the time from sending a request to the first event of its stream. */
  public void firstEvent(TargetRun run, long promptTokens, long elapsedMs) {
    Counters of = of(run);
    if (of != null) {
      of.add(LoadClass.firstEvent(promptTokens), elapsedMs);
    }
  }

  /** Records a pause between two events of a stream. */
  public void pause(TargetRun run, long requests, long elapsedMs) {
    Counters of = of(run);
    if (of == null) {
      return;
    }
    of.add(LoadClass.pause(requests), elapsedMs);
    if (elapsedMs >= of.longestMs) {
      of.longestMs = elapsedMs;
      of.longestClass = LoadClass.longestPause(requests);
    }
  }

  private Counters of(TargetRun run) {
    Counters known = counters.get(run);
    if (known == null && counters.size() < MAX_RUNS) {
      known = new Counters();
      counters.put(run, known);
    }
    return known;
  }

  /** Removes and returns the observations; none before the report interval has passed. */
  public List<SpeedObservation> take(long nowMs) {
    if (nowMs - lastTakenMs < REPORT_INTERVAL_MS) {
      return List.of();
    }
    List<SpeedObservation> taken = new ArrayList<>();
    if (nowMs - lastTakenMs < MAX_INTERVAL_MS) {
      counters.forEach((run, of) -> taken.add(new SpeedObservation(run, of.samples())));
    }
    lastTakenMs = nowMs;
    counters.clear();
    return taken;
  }
}
