package dev.caroblb.bench;

import java.util.Locale;

/** Metrics of a run; the names in lower case are the CSV columns. */
enum Metric {
  PREEMPTIONS(false),
  STALL_S(false),
  GAP_P50_MS(false),
  GAP_P95_MS(false),
  GAP_P99_MS(false),
  GAP_P999_MS(false),
  DECODE_P99_MS(false),
  TTFT_P50_MS(false),
  TTFT_P99_MS(false),
  GOODPUT(true),
  REFUSED_NOT_RUN(false),
  ENDED_LATE(false),
  INTERRUPTED(false),
  JAIN(true);

  private final boolean higherIsBetter;

  Metric(boolean higherIsBetter) {
    this.higherIsBetter = higherIsBetter;
  }

  boolean higherIsBetter() {
    return higherIsBetter;
  }

  String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
