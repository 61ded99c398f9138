package dev.caroblb.membership;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.RendezvousScore;
import dev.caroblb.core.TargetId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Selects a bounded number of targets by rendezvous hashing, with a proportional share for each
 * group of targets that serve the same names. Every target is selected by about the same number of
 * instances, and adding or removing one target changes at most one selected target per group.
 */
public final class RendezvousTargets implements TargetSelection {
  public static final int DEFAULT_LIMIT = 200;

  private final int limit;

  public RendezvousTargets(int limit) {
    this.limit = limit;
  }

  @Override
  public Set<TargetId> select(InstanceId instance, Collection<Announcement> known) {
    Set<TargetId> selected = new HashSet<>();
    for (List<TargetId> group : groups(known).values()) {
      int quota = Math.max(1, (int) ((long) limit * group.size() / known.size()));
      int remaining = limit - selected.size();
      group.sort(
          Comparator.comparingLong((TargetId target) -> score(instance, target))
              .thenComparing(TargetId::name));
      selected.addAll(group.subList(0, Math.min(group.size(), Math.min(quota, remaining))));
    }
    return selected;
  }

  private static Map<String, List<TargetId>> groups(Collection<Announcement> known) {
    Map<String, List<TargetId>> groups = new TreeMap<>();
    for (Announcement announcement : known) {
      String key = String.join(",", announcement.serves());
      groups.computeIfAbsent(key, k -> new ArrayList<>()).add(announcement.target());
    }
    return groups;
  }

  private static long score(InstanceId instance, TargetId target) {
    return RendezvousScore.of(instance.name(), target.name());
  }
}
