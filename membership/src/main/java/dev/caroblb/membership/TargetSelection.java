package dev.caroblb.membership;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.TargetId;
import java.util.Collection;
import java.util.Set;

/** Selects the targets that an instance follows, which are those it may give work to. */
public interface TargetSelection {
  /** Selects among the known targets. The result depends on the arguments only. */
  Set<TargetId> select(InstanceId instance, Collection<Announcement> known);
}
