package dev.caroblb.forwarding;

import java.util.Optional;

/** When the parts of one stream arrived, over all of its attempts. */
final class StreamTiming {
  private Optional<Long> firstPartMs = Optional.empty();
  private long firstPartSentMs;
  private long lastPartMs;
  private long longestGapMs;

  /**
   * Records a part; returns the time in milliseconds since the previous one, empty for the first.
   *
   * @param sentMs time at which the attempt that the part belongs to was sent
   */
  Optional<Long> recordPart(long sentMs, long nowMs) {
    if (firstPartMs.isEmpty()) {
      firstPartMs = Optional.of(nowMs);
      firstPartSentMs = sentMs;
      lastPartMs = nowMs;
      return Optional.empty();
    }
    long gapMs = nowMs - lastPartMs;
    lastPartMs = nowMs;
    longestGapMs = Math.max(longestGapMs, gapMs);
    return Optional.of(gapMs);
  }

  /** Whether a part has arrived. */
  boolean begun() {
    return firstPartMs.isPresent();
  }

  /** Time of the first part; 0 if there is none yet. */
  long firstPartMs() {
    return firstPartMs.orElse(0L);
  }

  /** Time in milliseconds from the send to the target that responded to the first part. */
  long firstPartAfterSendMs() {
    return firstPartMs() - firstPartSentMs;
  }

  /** Time in milliseconds from the first part to the last one. */
  long streamedMs() {
    return lastPartMs - firstPartMs();
  }

  /** Time in milliseconds since the last part. */
  long sinceLastPartMs(long nowMs) {
    return nowMs - lastPartMs;
  }

  /** Longest time in milliseconds between two parts. */
  long longestGapMs() {
    return longestGapMs;
  }
}
