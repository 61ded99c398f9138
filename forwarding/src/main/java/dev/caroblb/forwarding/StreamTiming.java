package dev.caroblb.forwarding;

import java.util.Optional;

/** When the parts of one stream arrived, over all of its attempts. */
final class StreamTiming {
  private Optional<Long> firstPartMs = Optional.empty();
  private long lastPartMs;
  private long longestGapMs;

  /** Records a part; returns the time in milliseconds since the previous one, if there is one. */
  Optional<Long> recordPart(long nowMs) {
    if (firstPartMs.isEmpty()) {
      firstPartMs = Optional.of(nowMs);
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

  /** Time in milliseconds since the last part, or since an attempt was sent that has none yet. */
  long silentMs(long sentMs, long nowMs) {
    return nowMs - (begun() ? Math.max(sentMs, lastPartMs) : sentMs);
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
