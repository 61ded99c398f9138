package dev.caroblb.configuration;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counters of the configuration duty, readable from any thread. */
public final class ConfigurationCounters {
  private final Map<ConfigurationEvent, LongAdder> counts = new EnumMap<>(ConfigurationEvent.class);

  public ConfigurationCounters() {
    for (ConfigurationEvent event : ConfigurationEvent.values()) {
      counts.put(event, new LongAdder());
    }
  }

  /** Number of times that an event occurred. */
  public long count(ConfigurationEvent event) {
    return counts.get(event).sum();
  }

  void add(ConfigurationEvent event) {
    counts.get(event).increment();
  }
}
