package dev.caroblb.standins.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * LRU cache of prompt prefixes. A hit saves the prefill of the prefix; sharing of its KV memory is
 * not modelled.
 */
final class PrefixCache {
  private final int capacityTokens;
  private final Map<Long, Integer> tokensByPrefix = new LinkedHashMap<>(16, 0.75f, true);
  private int usedTokens;
  private long eventCount;

  PrefixCache(int capacityTokens) {
    this.capacityTokens = capacityTokens;
  }

  /** Number of cached tokens of a prefix; 0 on a miss. */
  int cachedTokens(long prefix) {
    Integer tokens = tokensByPrefix.get(prefix);
    return tokens == null ? 0 : tokens;
  }

  void store(long prefix, int tokens, Consumer<EngineEvent> listener) {
    if (prefix == 0 || tokens > capacityTokens || tokensByPrefix.containsKey(prefix)) {
      return;
    }
    tokensByPrefix.put(prefix, tokens);
    usedTokens += tokens;
    listener.accept(new EngineEvent.CacheChanged(++this.eventCount, prefix, true));
    Iterator<Map.Entry<Long, Integer>> eldest = tokensByPrefix.entrySet().iterator();
    while (usedTokens > capacityTokens) {
      Map.Entry<Long, Integer> evicted = eldest.next();
      usedTokens -= evicted.getValue();
      listener.accept(new EngineEvent.CacheChanged(++this.eventCount, evicted.getKey(), false));
      eldest.remove();
    }
  }
}
