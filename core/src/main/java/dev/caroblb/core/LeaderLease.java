package dev.caroblb.core;

import java.util.Optional;

/**
 * Leader of a consensus group, as known to this instance.
 *
 * @param group the consensus group
 * @param term term of the leader; also the fencing token of the orders that it sends
 * @param leader the leader, if one is known
 * @param local whether this instance is the leader
 * @param validUntilMs monotonic time until which a local leader may act; 0 if the leader is remote
 */
public record LeaderLease(
    GroupId group, long term, Optional<InstanceId> leader, boolean local, long validUntilMs) {
  /** Whether this instance may act as the leader at the given monotonic time. */
  public boolean heldAt(long nowMs) {
    return local && nowMs < validUntilMs;
  }
}
