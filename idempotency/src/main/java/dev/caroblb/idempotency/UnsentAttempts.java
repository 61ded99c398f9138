package dev.caroblb.idempotency;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The latest attempts of this entry that ended without being written to a target. If a delayed copy
 * of such an attempt's reservation request is granted, the entry releases the key, which otherwise
 * would stay reserved.
 */
final class UnsentAttempts {
  private static final int MAX_ATTEMPTS = 10_000;

  private final Map<Long, CallKey> keys =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, CallKey> eldest) {
          return size() > MAX_ATTEMPTS;
        }
      };

  void add(Attempt attempt, CallKey key) {
    keys.put(attempt.call(), key);
  }

  Optional<CallKey> key(Attempt attempt) {
    return Optional.ofNullable(keys.get(attempt.call()));
  }
}
