package dev.caroblb.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Immutable picture of the instances.
 *
 * @param entries instances that callers may be sent to
 * @param instances every known instance, also draining and silent ones
 */
public record InstanceView(List<InstanceRecord> entries, List<InstanceRecord> instances) {
  /** Time for which a caller may keep the addresses. */
  public static final long KEEP_MS = 5_000;

  public InstanceView {
    entries = List.copyOf(entries);
    instances = List.copyOf(instances);
  }

  /**
   * The entries in an order that depends on the seed only. With a random seed for each answer
   * callers that take the first address spread evenly; failure domains have no rank.
   */
  public List<InstanceRecord> ordered(long seed) {
    List<InstanceRecord> ordered = new ArrayList<>(entries);
    Collections.shuffle(ordered, new Random(seed));
    return ordered;
  }
}
