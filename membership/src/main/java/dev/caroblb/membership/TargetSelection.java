package dev.caroblb.membership;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.TargetId;
import java.util.Collection;
import java.util.Set;

/** Chooses the targets that an instance gives work to. */
public interface TargetSelection {
  /** The followed ones among the known targets; depends on the arguments only. */
  Set<TargetId> select(InstanceId instance, Collection<Announcement> known);
}
