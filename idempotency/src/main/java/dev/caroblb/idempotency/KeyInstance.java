package dev.caroblb.idempotency;

import dev.caroblb.core.InstanceId;
import java.util.List;

/**
 * This instance and the key groups.
 *
 * @param id name of the instance
 * @param incarnation identity of this run, larger than that of every earlier run
 * @param groups number of key groups
 * @param replicas instances that keep the key groups
 */
public record KeyInstance(
    InstanceId id, long incarnation, KeyGroups groups, List<InstanceId> replicas) {
  public KeyInstance {
    replicas = List.copyOf(replicas);
  }
}
