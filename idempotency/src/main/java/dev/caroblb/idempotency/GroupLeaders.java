package dev.caroblb.idempotency;

import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Presumed leader of each key group, updated from the replies of replicas. */
final class GroupLeaders {
  private final List<InstanceId> replicas;
  private final Map<GroupId, InstanceId> leaders = new HashMap<>();

  GroupLeaders(List<InstanceId> replicas) {
    if (replicas.isEmpty()) {
      throw new IllegalArgumentException(
          "no replicas are configured for the key groups; add them to the settings");
    }
    this.replicas = List.copyOf(replicas);
  }

  InstanceId leader(GroupId group) {
    return leaders.getOrDefault(
        group, replicas.get(Math.floorMod(group.hashCode(), replicas.size())));
  }

  void setLeader(GroupId group, InstanceId leader) {
    if (replicas.contains(leader)) {
      leaders.put(group, leader);
    }
  }

  /**
   * Replaces a replica that does not lead the group or does not answer, by the replica in its hint
   * or else by the next one in the list.
   */
  void tryAnother(GroupId group, InstanceId contacted, Optional<InstanceId> hint) {
    if (!leader(group).equals(contacted)) {
      return;
    }
    InstanceId next = replicas.get((replicas.indexOf(contacted) + 1) % replicas.size());
    leaders.put(group, hint.filter(n -> replicas.contains(n) && !n.equals(contacted)).orElse(next));
  }
}
