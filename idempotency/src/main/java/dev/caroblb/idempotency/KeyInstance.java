package dev.caroblb.idempotency;

import dev.caroblb.core.InstanceId;
import java.util.List;

/**
 * Identity of this instance, and the key groups and their replicas.
 *
 * @param id name of the instance
 * @param incarnation incarnation of this process, larger than that of every earlier one
 * @param groups the key groups
 * @param replicas instances that replicate the key groups
 */
public record KeyInstance(
    InstanceId id, long incarnation, KeyGroups groups, List<InstanceId> replicas) {
  public KeyInstance {
    replicas = List.copyOf(replicas);
  }
}
