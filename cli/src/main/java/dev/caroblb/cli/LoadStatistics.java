package dev.caroblb.cli;

import dev.caroblb.core.LogLine;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Outcome counts and latency histograms of a load run; thread-safe. */
final class LoadStatistics {
  private static final long MAX_MICROS = 3_600_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final long NANOS_PER_MICRO = 1_000;
  private static final double MICROS_PER_MS = 1_000.0;

  private final Map<String, LongAdder> outcomeCounts = new ConcurrentSkipListMap<>();
  private final Histogram timeToFirstToken =
      new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
  private final Histogram tokenGap = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
  private final LongAdder sent = new LongAdder();
  private final LongAdder tokens = new LongAdder();

  void countSent() {
    sent.increment();
  }

  void countOutcome(CallOutcome outcome) {
    outcomeCounts
        .computeIfAbsent(outcome.kind().wireName() + " " + outcome.reason(), key -> new LongAdder())
        .increment();
  }

  void recordTimeToFirstToken(long nanos) {
    tokens.increment();
    record(timeToFirstToken, nanos);
  }

  void recordTokenGap(long nanos) {
    tokens.increment();
    record(tokenGap, nanos);
  }

  private static void record(Histogram histogram, long nanos) {
    histogram.recordValue(Math.min(Math.max(0, nanos / NANOS_PER_MICRO), MAX_MICROS));
  }

  long count(CallOutcome.Kind kind) {
    return outcomeCounts.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(kind.wireName() + " "))
        .mapToLong(entry -> entry.getValue().sum())
        .sum();
  }

  /** Number of calls without an outcome. */
  long unfinished() {
    return sent.sum() - outcomeCounts.values().stream().mapToLong(LongAdder::sum).sum();
  }

  void print(Console console) {
    LogLine totals = LogLine.of("load.result").with("sent", sent.sum());
    for (CallOutcome.Kind kind : CallOutcome.Kind.values()) {
      totals.with(kind.wireName(), count(kind));
    }
    console.print(totals.with("unfinished", unfinished()).with("tokens", tokens.sum()).toString());
    outcomeCounts.forEach(
        (outcome, count) -> {
          String[] parts = outcome.split(" ", 2);
          if (!parts[1].isEmpty()) {
            console.print(
                LogLine.of("load.end")
                    .with("kind", parts[0])
                    .with("reason", parts[1])
                    .with("count", count.sum())
                    .toString());
          }
        });
    printTimes(console, "first_token", timeToFirstToken);
    printTimes(console, "between_tokens", tokenGap);
  }

  private static void printTimes(Console console, String name, Histogram histogram) {
    console.print(
        LogLine.of("load.times")
            .with("name", name)
            .with("count", histogram.getTotalCount())
            .with("p50_ms", ms(histogram.getValueAtPercentile(50)))
            .with("p95_ms", ms(histogram.getValueAtPercentile(95)))
            .with("p99_ms", ms(histogram.getValueAtPercentile(99)))
            .with("max_ms", ms(histogram.getMaxValue()))
            .toString());
  }

  private static String ms(long micros) {
    return String.format("%.3f", micros / MICROS_PER_MS);
  }
}
