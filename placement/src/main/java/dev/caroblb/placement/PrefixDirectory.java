package dev.caroblb.placement;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates which prefixes a target has cached, from its cache events and from own placements. A
 * gap in the event sequence lowers the probability of older entries instead of removing them: an
 * eviction may have been lost, but most entries are still valid.
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

  /** Records that a call with this prefix was sent to the target. */
  void sent(long prefix) {
    probabilities.put(prefix, 1.0);
  }

  /** Probability that the prefix is cached. */
  double cachedProbability(Long prefix) {
    Double value = probabilities.get(prefix);
    return value == null ? 0.0 : value;
  }
}
