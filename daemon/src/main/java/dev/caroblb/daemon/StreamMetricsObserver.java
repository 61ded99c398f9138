package dev.caroblb.daemon;

import dev.caroblb.core.RetryReason;
import dev.caroblb.metrics.InstanceMetrics;
import dev.caroblb.streams.StreamObserver;

/** Records the measurements of the streams duty as metrics. */
record StreamMetricsObserver(InstanceMetrics metrics) implements StreamObserver {
  @Override
  public void firstToken(long waitMs) {
    metrics.recordTimeToFirstToken(waitMs);
  }

  @Override
  public void nextToken(long gapMs) {
    metrics.recordTokenGap(gapMs);
  }

  @Override
  public void retried(RetryReason reason) {
    metrics.countRetry(reason);
  }
}
