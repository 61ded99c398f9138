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
  private final Map<Long, Integer> prefixes = new LinkedHashMap<>(16, 0.75f, true);
  private int heldTokens;
  private long events;

  PrefixCache(int capacityTokens) {
    this.capacityTokens = capacityTokens;
  }

  /** Tokens of the prefix that need not be computed. */
  int hit(long prefix) {
    Integer tokens = prefixes.get(prefix);
    return tokens == null ? 0 : tokens;
  }

  void store(long prefix, int tokens, Consumer<EngineEvent> events) {
    if (prefix == 0 || tokens > capacityTokens || prefixes.containsKey(prefix)) {
      return;
    }
    prefixes.put(prefix, tokens);
    heldTokens += tokens;
    events.accept(new EngineEvent.Cache(++this.events, prefix, true));
    Iterator<Map.Entry<Long, Integer>> eldest = prefixes.entrySet().iterator();
    while (heldTokens > capacityTokens) {
      Map.Entry<Long, Integer> evicted = eldest.next();
      heldTokens -= evicted.getValue();
      events.accept(new EngineEvent.Cache(++this.events, evicted.getKey(), false));
      eldest.remove();
    }
  }
}
