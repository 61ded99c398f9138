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
  private static final double TRUST_AFTER_GAP = 0.5;

  private final Map<Long, Double> trust =
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
      trust.replaceAll((prefix, value) -> value * TRUST_AFTER_GAP);
    }
    lastSequence = event.sequence();
    if (event.stored()) {
      trust.put(event.prefix(), 1.0);
      return;
    }
    trust.remove(event.prefix());
  }

  /** Takes in that a call with this prefix was sent to the target. */
  void sent(long prefix) {
    trust.put(prefix, 1.0);
  }

  /** Probability that the prefix is cached. */
  double trust(Long prefix) {
    Double value = trust.get(prefix);
    return value == null ? 0.0 : value;
  }
}
