package dev.caroblb.idempotency;

import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Which replica is asked as the leader of each key group; learnt from answers. */
final class GroupRoutes {
  private final List<InstanceId> replicas;
  private final Map<GroupId, InstanceId> leaders = new HashMap<>();

  GroupRoutes(List<InstanceId> replicas) {
    if (replicas.isEmpty()) {
      throw new IllegalArgumentException(
          "no replica of the key groups is known; name them in the settings");
    }
    this.replicas = List.copyOf(replicas);
  }

  InstanceId leader(GroupId group) {
    return leaders.getOrDefault(
        group, replicas.get(Math.floorMod(group.hashCode(), replicas.size())));
  }

  void learn(GroupId group, InstanceId leader) {
    if (replicas.contains(leader)) {
      leaders.put(group, leader);
    }
  }

  /** The replica does not lead or does not answer; the one it names, or the next one, is asked. */
  void moveOn(GroupId group, InstanceId asked, Optional<InstanceId> named) {
    if (!leader(group).equals(asked)) {
      return;
    }
    InstanceId next = replicas.get((replicas.indexOf(asked) + 1) % replicas.size());
    leaders.put(group, named.filter(n -> replicas.contains(n) && !n.equals(asked)).orElse(next));
  }
}
