package dev.caroblb.membership;

import dev.caroblb.core.InstanceId;
import java.util.List;
import java.util.Set;

/** Determines with which instances this one exchanges its tables. */
public interface Topology {
  /** The instances to which messages are sent. */
  Set<InstanceId> peers();

  /** Contacts that this instance reports to the others; empty if it knows none. */
  List<InstanceId> contacts();

  /** Records a heartbeat of a peer and the contacts that it lists. */
  void heartbeatReceived(InstanceId peer, List<InstanceId> contacts, long nowMs);

  /** Forgets instances that have been silent for too long. */
  void expire(long nowMs);

  /**
   * Whether this instance is, or recently was, disconnected from the instances that forward
   * announcements to it. In that case a silent target cannot be assumed dead.
   */
  boolean disconnected(long nowMs);
}
