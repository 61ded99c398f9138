package dev.caroblb.admission;

import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.RetryReason;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counters of refusals and retries by reason, zero for a reason not seen yet. Thread safe. */
public final class AdmissionCounts {
  private final Map<RefusalReason, LongAdder> refusals = new EnumMap<>(RefusalReason.class);
  private final Map<RetryReason, LongAdder> retries = new EnumMap<>(RetryReason.class);

  public AdmissionCounts() {
    for (RefusalReason reason : RefusalReason.values()) {
      refusals.put(reason, new LongAdder());
    }
    for (RetryReason reason : RetryReason.values()) {
      retries.put(reason, new LongAdder());
    }
  }

  /** Counts a refusal. */
  public void refused(RefusalReason reason) {
    refusals.get(reason).increment();
  }

  /** Counts a retry or a resume. */
  public void retried(RetryReason reason) {
    retries.get(reason).increment();
  }

  public long refusals(RefusalReason reason) {
    return refusals.get(reason).sum();
  }

  public long retries(RetryReason reason) {
    return retries.get(reason).sum();
  }
}
