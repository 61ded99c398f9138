package dev.caroblb.membership;

import dev.caroblb.core.InstanceId;
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

  /**
   * 64-bit FNV-1a hash of both names, followed by a mixing step. {@link String#hashCode}
   * distributes similar names too unevenly.
   */
  private static long score(InstanceId instance, TargetId target) {
    long hash = 0xcbf29ce484222325L;
    String text = instance.name() + "/" + target.name();
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
    }
    hash = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
    hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
    return hash ^ (hash >>> 31);
  }
}
