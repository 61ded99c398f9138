package dev.caroblb.scheduling;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Fingerprints that do not identify a caller, because several callers send the same contents. They
 * are recognised by requests that were accepted shortly after each other: a caller does not repeat
 * a request that is queued or runs.
 */
final class CommonRequests<K> {
  /** Maximum number of fingerprints of each kind; the oldest are forgotten. */
  private static final int MAX_REMEMBERED = 8_192;

  /** Two requests accepted within this time, in milliseconds, come from two callers. */
  private static final long ACCEPTED_MS = 2_000;

  /** Time in milliseconds for which a fingerprint counts as common. */
  private static final long COMMON_MS = 60_000;

  private final Map<K, Long> acceptedMs = bounded();
  private final Map<K, Long> commonUntilMs = bounded();

  private static <K> Map<K, Long> bounded() {
    return new LinkedHashMap<>() {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<K, Long> eldest) {
        return size() > MAX_REMEMBERED;
      }
    };
  }

  /** Records that a request was placed or queued when it arrived. */
  void accepted(K key, long nowMs) {
    Long last = acceptedMs.put(key, nowMs);
    if (last != null && nowMs - last < ACCEPTED_MS) {
      commonUntilMs.put(key, nowMs + COMMON_MS);
    }
  }

  /** Records that a request was rejected, so that its caller may send it again. */
  void rejected(K key) {
    acceptedMs.remove(key);
  }

  boolean contains(K key, long nowMs) {
    Long untilMs = commonUntilMs.get(key);
    return untilMs != null && nowMs < untilMs;
  }

  void expire(long nowMs) {
    acceptedMs.values().removeIf(ms -> nowMs - ms >= ACCEPTED_MS);
    commonUntilMs.values().removeIf(ms -> nowMs >= ms);
  }
}
