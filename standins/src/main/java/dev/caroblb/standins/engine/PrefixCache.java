package dev.caroblb.standins.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Prompt prefixes kept for reuse, least recently used evicted first. A hit saves computing the
 * prefix; that it could also share memory is left out.
 */
final class PrefixCache {
  private final int capacityTokens;
  private final Map<Long, Integer> tokensByPrefix = new LinkedHashMap<>(16, 0.75f, true);
  private int usedTokens;
  private long eventCount;

  PrefixCache(int capacityTokens) {
    this.capacityTokens = capacityTokens;
  }

  /** Tokens of the prefix that need not be computed. */
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
