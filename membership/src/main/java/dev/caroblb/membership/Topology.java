package dev.caroblb.membership;

import dev.caroblb.core.InstanceId;
import java.util.List;
import java.util.Set;

/** Which instances this one exchanges its tables with. */
public interface Topology {
  /** The instances that messages go to. */
  Set<InstanceId> peers();

  /** Instances that others should contact, as this one tells them; empty when it knows none. */
  List<InstanceId> contacts();

  /** Takes note of a heartbeat and of the contacts it names. */
  void heard(InstanceId peer, List<InstanceId> contacts, long nowMs);

  /** Forgets instances that have long been silent. */
  void expire(long nowMs);

  /**
   * Whether the silence of a target says nothing, because this instance was out of touch with those
   * that forward announcements.
   */
  boolean outOfTouch(long nowMs);
}
