package dev.caroblb.membership;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.TargetId;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/** Follows every target; right as long as a deployment has some hundred targets at most. */
public final class AllTargets implements TargetSelection {
  @Override
  public Set<TargetId> select(InstanceId instance, Collection<Announcement> known) {
    Set<TargetId> all = new HashSet<>();
    for (Announcement announcement : known) {
      all.add(announcement.target());
    }
    return all;
  }
}
