package dev.caroblb.forwarding;

import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.RetryReason;

/** Records metrics of the forwarding handler. */
public interface CallObserver {
  void refused(RefusalReason reason);

  void retried(RetryReason reason);

  /** Records the time in milliseconds from arrival to the response or the first stream event. */
  void responded(long elapsedMs);

  /** Records the time in milliseconds between two parts of a stream. */
  void partGap(long gapMs);

  /** Counts bytes of a request to a target in another failure domain. */
  default void sentToOtherDomain(long bytes) {}

  /** Counts bytes of a response from a target in another failure domain. */
  default void receivedFromOtherDomain(long bytes) {}
}
