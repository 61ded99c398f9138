package dev.caroblb.configuration;

import dev.caroblb.core.InstanceId;
import java.util.List;

/** Tracks which replica is assumed to be the control leader, trying the known replicas in turn. */
final class LeaderFinder {
  private final List<InstanceId> replicas;
  private int current;

  LeaderFinder(List<InstanceId> replicas) {
    if (replicas.isEmpty()) {
      throw new IllegalArgumentException(
          "no control replicas are known; name them in the settings of the instance");
    }
    this.replicas = List.copyOf(replicas);
  }

  InstanceId candidate() {
    return replicas.get(current);
  }

  /** Moves on to the next replica. */
  void moveToNext() {
    current = (current + 1) % replicas.size();
  }

  /** Moves to the replica that another replica reported as the leader. */
  void moveTo(InstanceId leader) {
    int index = replicas.indexOf(leader);
    if (index >= 0) {
      current = index;
    }
  }
}
