package dev.caroblb.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Immutable view of all known instances.
 *
 * @param entries instances to which callers may be directed
 * @param instances all known instances, including draining and silent ones
 */
public record InstanceView(List<InstanceRecord> entries, List<InstanceRecord> instances) {
  /** Time for which callers may cache the addresses. */
  public static final long ADDRESS_TTL_MS = 5_000;

  /** Time for which callers may cache the addresses while no instance admits new calls. */
  static final long NOT_ADMITTING_TTL_MS = 1_000;

  public InstanceView {
    entries = List.copyOf(entries);
    instances = List.copyOf(instances);
  }

  /** Returns the same view without the resources of instances. */
  public InstanceView withoutResources() {
    return new InstanceView(
        entries.stream().map(InstanceRecord::withoutResources).toList(),
        instances.stream().map(InstanceRecord::withoutResources).toList());
  }

  /** Time for which callers may cache the addresses in this view. */
  public long addressTtlMs() {
    boolean admitting = entries.stream().anyMatch(entry -> entry.state() == InstanceState.READY);
    return admitting ? ADDRESS_TTL_MS : NOT_ADMITTING_TTL_MS;
  }

  /**
   * The entries, shuffled by the seed. With a random seed for each answer, callers that use the
   * first address are spread evenly. Failure domains do not affect the order.
   */
  public List<InstanceRecord> shuffled(long seed) {
    List<InstanceRecord> ordered = new ArrayList<>(entries);
    Collections.shuffle(ordered, new Random(seed));
    return ordered;
  }
}
