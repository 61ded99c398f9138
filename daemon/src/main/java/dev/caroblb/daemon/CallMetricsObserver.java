package dev.caroblb.daemon;

import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.RetryReason;
import dev.caroblb.forwarding.CallObserver;
import dev.caroblb.metrics.InstanceMetrics;

/** Counts what happens to forwarded requests. */
final class CallMetricsObserver implements CallObserver {
  private final InstanceMetrics metrics;

  CallMetricsObserver(InstanceMetrics metrics) {
    this.metrics = metrics;
  }

  @Override
  public void refused(RefusalReason reason) {
    metrics.countRefusal(reason);
  }

  @Override
  public void retried(RetryReason reason) {
    metrics.countRetry(reason);
  }

  @Override
  public void responded(long elapsedMs) {
    metrics.recordTimeToFirstToken(elapsedMs);
  }

  @Override
  public void partGap(long gapMs) {
    metrics.recordTokenGap(gapMs);
  }

  @Override
  public void sentToOtherDomain(long bytes) {
    metrics.countBytesToOtherDomain(bytes);
  }

  @Override
  public void receivedFromOtherDomain(long bytes) {
    metrics.countBytesFromOtherDomain(bytes);
  }
}
