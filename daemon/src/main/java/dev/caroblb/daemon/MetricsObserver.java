package dev.caroblb.daemon;

import dev.caroblb.core.RetryReason;
import dev.caroblb.metrics.InstanceMetrics;
import dev.caroblb.streams.StreamObserver;

/** Records what the streams duty observes. */
record MetricsObserver(InstanceMetrics metrics) implements StreamObserver {
  @Override
  public void firstToken(long waitMs) {
    metrics.firstToken(waitMs);
  }

  @Override
  public void nextToken(long gapMs) {
    metrics.betweenTokens(gapMs);
  }

  @Override
  public void retried(RetryReason reason) {
    metrics.retried(reason);
  }
}
