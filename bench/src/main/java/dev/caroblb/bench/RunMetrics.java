package dev.caroblb.bench;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Collects the metrics of a run. A gap is the time between two tokens. The first gap of a call
 * starts at its scheduled arrival, and the last gap of an unfinished call lasts until its end.
 */
final class RunMetrics {
  /** A longer gap after the first token counts as a stall; a normal step takes 20 to 60 ms. */
  static final long STALL_THRESHOLD_US = 250_000;

  private static final long MAX_US = 3_600_000_000L;

  private final Histogram gaps = new Histogram(MAX_US, 3);
  private final Histogram decodeGaps = new Histogram(MAX_US, 3);
  private final Histogram timeToFirstToken = new Histogram(MAX_US, 3);
  private final long[] offered = new long[Workload.WORKSPACES];
  private final long[] completed = new long[Workload.WORKSPACES];
  private long stallUs;
  private long refused;
  private long late;
  private long interrupted;

  void countOffered(SimCall call) {
    offered[call.arrival.workspace()]++;
  }

  void recordToken(SimCall call, long nowUs) {
    long gap = nowUs - call.lastTokenUs;
    gaps.recordValue(gap);
    if (call.tokens == 0) {
      timeToFirstToken.recordValue(gap);
      return;
    }
    decodeGaps.recordValue(gap);
    stallUs += gap > STALL_THRESHOLD_US ? gap : 0;
  }

  void countCompleted(SimCall call) {
    completed[call.arrival.workspace()]++;
  }

  void recordRefused(SimCall call, long nowUs) {
    refused++;
    gaps.recordValue(nowUs - call.arrival.atUs());
  }

  void recordLate(SimCall call, long nowUs) {
    late++;
    recordUnfinished(call, nowUs);
  }

  void recordInterrupted(SimCall call, long nowUs) {
    interrupted++;
    recordUnfinished(call, nowUs);
  }

  private void recordUnfinished(SimCall call, long nowUs) {
    long gap = nowUs - call.lastTokenUs;
    gaps.recordValue(gap);
    stallUs += call.tokens > 0 && gap > STALL_THRESHOLD_US ? gap : 0;
  }

  Map<Metric, Double> values(long preemptions) {
    long totalOffered = 0;
    long totalCompleted = 0;
    double ratioSum = 0;
    double squaredRatioSum = 0;
    int workspaces = 0;
    for (int i = 0; i < offered.length; i++) {
      totalOffered += offered[i];
      totalCompleted += completed[i];
      if (offered[i] > 0) {
        double ratio = completed[i] / (double) offered[i];
        ratioSum += ratio;
        squaredRatioSum += ratio * ratio;
        workspaces++;
      }
    }
    Map<Metric, Double> values = new EnumMap<>(Metric.class);
    values.put(Metric.PREEMPTIONS, (double) preemptions);
    values.put(Metric.STALL_S, stallUs / 1e6);
    values.put(Metric.GAP_P50_MS, gaps.getValueAtPercentile(50) / 1e3);
    values.put(Metric.GAP_P95_MS, gaps.getValueAtPercentile(95) / 1e3);
    values.put(Metric.GAP_P99_MS, gaps.getValueAtPercentile(99) / 1e3);
    values.put(Metric.GAP_P999_MS, gaps.getValueAtPercentile(99.9) / 1e3);
    values.put(Metric.DECODE_P99_MS, decodeGaps.getValueAtPercentile(99) / 1e3);
    values.put(Metric.TTFT_P50_MS, timeToFirstToken.getValueAtPercentile(50) / 1e3);
    values.put(Metric.TTFT_P99_MS, timeToFirstToken.getValueAtPercentile(99) / 1e3);
    values.put(Metric.GOODPUT, totalOffered == 0 ? 1 : totalCompleted / (double) totalOffered);
    values.put(Metric.REFUSED_NOT_RUN, (double) refused);
    values.put(Metric.ENDED_LATE, (double) late);
    values.put(Metric.INTERRUPTED, (double) interrupted);
    values.put(
        Metric.JAIN,
        squaredRatioSum == 0 ? 1 : ratioSum * ratioSum / (workspaces * squaredRatioSum));
    return values;
  }
}
