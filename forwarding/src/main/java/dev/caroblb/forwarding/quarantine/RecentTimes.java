package dev.caroblb.forwarding.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

/** Times of the keys that were used most recently, up to a number of keys. */
final class RecentTimes<K> extends LinkedHashMap<K, Long> {
  private static final long serialVersionUID = 1L;

  private final int maxKeys;

  RecentTimes(int maxKeys) {
    super(16, 0.75f, true);
    this.maxKeys = maxKeys;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, Long> eldest) {
    return size() > maxKeys;
  }
}
