package dev.caroblb.bench;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Collects the figures of a run. A gap is the time between two tokens; the first one of a call
 * starts at its intended arrival, and a call without any token counts with the time until its end.
 */
final class Meter {
  /** Gaps longer than this after the first token are stalls; steps take 20 to 60 ms. */
  static final long STALL_US = 250_000;

  private static final long MAX_US = 3_600_000_000L;

  private final Histogram gaps = new Histogram(MAX_US, 3);
  private final Histogram decodeGaps = new Histogram(MAX_US, 3);
  private final Histogram firstTokens = new Histogram(MAX_US, 3);
  private final long[] offered = new long[Workload.WORKSPACES];
  private final long[] good = new long[Workload.WORKSPACES];
  private long stallUs;
  private long refused;
  private long late;
  private long interrupted;

  void offered(SimCall call) {
    offered[call.arrival.workspace()]++;
  }

  void token(SimCall call, long nowUs) {
    long gap = nowUs - call.lastTokenUs;
    gaps.recordValue(gap);
    if (call.tokens == 0) {
      firstTokens.recordValue(gap);
      return;
    }
    decodeGaps.recordValue(gap);
    stallUs += gap > STALL_US ? gap : 0;
  }

  void done(SimCall call) {
    good[call.arrival.workspace()]++;
  }

  void refused(SimCall call, long nowUs) {
    refused++;
    gaps.recordValue(nowUs - call.arrival.atUs());
  }

  void late(SimCall call, long nowUs) {
    late++;
    endWithout(call, nowUs);
  }

  void interrupted(SimCall call, long nowUs) {
    interrupted++;
    endWithout(call, nowUs);
  }

  private void endWithout(SimCall call, long nowUs) {
    long gap = nowUs - call.lastTokenUs;
    gaps.recordValue(gap);
    stallUs += call.tokens > 0 && gap > STALL_US ? gap : 0;
  }

  Map<Metric, Double> figures(long preemptions) {
    long sumOffered = 0;
    long sumGood = 0;
    double ratios = 0;
    double squares = 0;
    int workspaces = 0;
    for (int i = 0; i < offered.length; i++) {
      sumOffered += offered[i];
      sumGood += good[i];
      if (offered[i] > 0) {
        double ratio = good[i] / (double) offered[i];
        ratios += ratio;
        squares += ratio * ratio;
        workspaces++;
      }
    }
    Map<Metric, Double> figures = new EnumMap<>(Metric.class);
    figures.put(Metric.PREEMPTIONS, (double) preemptions);
    figures.put(Metric.STALL_S, stallUs / 1e6);
    figures.put(Metric.GAP_P50_MS, gaps.getValueAtPercentile(50) / 1e3);
    figures.put(Metric.GAP_P95_MS, gaps.getValueAtPercentile(95) / 1e3);
    figures.put(Metric.GAP_P99_MS, gaps.getValueAtPercentile(99) / 1e3);
    figures.put(Metric.GAP_P999_MS, gaps.getValueAtPercentile(99.9) / 1e3);
    figures.put(Metric.DECODE_P99_MS, decodeGaps.getValueAtPercentile(99) / 1e3);
    figures.put(Metric.TTFT_P50_MS, firstTokens.getValueAtPercentile(50) / 1e3);
    figures.put(Metric.TTFT_P99_MS, firstTokens.getValueAtPercentile(99) / 1e3);
    figures.put(Metric.GOODPUT, sumOffered == 0 ? 1 : sumGood / (double) sumOffered);
    figures.put(Metric.REFUSED_NOT_RUN, (double) refused);
    figures.put(Metric.ENDED_LATE, (double) late);
    figures.put(Metric.INTERRUPTED, (double) interrupted);
    figures.put(Metric.JAIN, squares == 0 ? 1 : ratios * ratios / (workspaces * squares));
    return figures;
  }
}
