package dev.caroblb.placement;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Prefixes that a target probably has cached, from its late and gappy events and from own
 * placements. A gap in the sequence lowers the trust in older entries instead of dropping them: an
 * eviction may have been lost, but most entries still hold.
 */
final class PrefixDirectory {
  private static final int CAPACITY = 512;
  private static final double GAP_FACTOR = 0.5;

  private final Map<Long, Double> probabilities =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Double> eldest) {
          return size() > CAPACITY;
        }
      };
  private long lastSequence = -1;

  void apply(CacheEvent event) {
    if (event.sequence() <= lastSequence) {
      return;
    }
    if (lastSequence >= 0 && event.sequence() > lastSequence + 1) {
      probabilities.replaceAll((prefix, probability) -> probability * GAP_FACTOR);
    }
    lastSequence = event.sequence();
    if (event.stored()) {
      probabilities.put(event.prefix(), 1.0);
      return;
    }
    probabilities.remove(event.prefix());
  }

  /** Takes in that a call with this prefix was sent to the target. */
  void sent(long prefix) {
    probabilities.put(prefix, 1.0);
  }

  /** Probability that the prefix is cached. */
  double cachedProbability(Long prefix) {
    Double value = probabilities.get(prefix);
    return value == null ? 0.0 : value;
  }
}
