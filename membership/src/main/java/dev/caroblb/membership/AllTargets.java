package dev.caroblb.membership;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.TargetId;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/** Selects every target; suitable for deployments of up to a few hundred targets. */
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
