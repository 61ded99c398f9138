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
   * Changes the presumed leader after the contacted replica did not answer or was not the leader.
   * The replica in its hint is presumed next, or without a usable hint the next one in the list.
   * Has no effect if the presumed leader has changed since the replica was contacted.
   */
  void tryAnother(GroupId group, InstanceId contacted, Optional<InstanceId> hint) {
    if (!leader(group).equals(contacted)) {
      return;
    }
    InstanceId next = replicas.get((replicas.indexOf(contacted) + 1) % replicas.size());
    leaders.put(group, hint.filter(n -> replicas.contains(n) && !n.equals(contacted)).orElse(next));
  }
}
