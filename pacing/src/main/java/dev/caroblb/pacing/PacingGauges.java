package dev.caroblb.pacing;

import java.util.concurrent.atomic.AtomicLong;

/** Numbers about paced targets that other threads may read. */
public final class PacingGauges {
  private final AtomicLong warming = new AtomicLong();
  private final AtomicLong paced = new AtomicLong();
  private final AtomicLong denied = new AtomicLong();

  void set(long warmingTargets, long pacedTargets) {
    warming.set(warmingTargets);
    paced.set(pacedTargets);
  }

  void countDenied() {
    denied.incrementAndGet();
  }

  /** Number of targets that are cold. */
  public long warming() {
    return warming.get();
  }

  /** Number of targets whose rate is learned. */
  public long paced() {
    return paced.get();
  }

  /** Number of permits that were denied. */
  public long denied() {
    return denied.get();
  }
}
