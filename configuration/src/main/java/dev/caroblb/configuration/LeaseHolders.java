package dev.caroblb.configuration;

import dev.caroblb.core.InstanceId;
import java.util.HashMap;
import java.util.Map;

/**
 * Leases granted by this leader, from which it derives the number that is in force on all entries.
 */
final class LeaseHolders {
  /**
   * Time for which the leader must assume that a lease is held: the lease plus 1%, the bound on the
   * drift between two clocks.
   */
  static final long LEASE_WITH_DRIFT_MS = EntryRole.LEASE_MS + EntryRole.LEASE_MS / 100;

  private final Map<Key, Holder> holders = new HashMap<>();
  private long earlierLeasesEndMs;

  /**
   * Starts a new leadership. Leases granted by earlier leaders are unknown here and can last for up
   * to one full lease.
   */
  void restart(long nowMs) {
    holders.clear();
    earlierLeasesEndMs = nowMs + LEASE_WITH_DRIFT_MS;
  }

  /** Records a lease granted to a process that has installed the given number. */
  void recordGrant(InstanceId instance, String incarnation, long installed, long nowMs) {
    Holder holder = holders.computeIfAbsent(new Key(instance, incarnation), key -> new Holder());
    holder.installedNumber = Math.max(holder.installedNumber, installed);
    holder.leaseEndMs = Math.max(holder.leaseEndMs, nowMs + LEASE_WITH_DRIFT_MS);
  }

  /** Records the installed number of a process whose lease is not renewed. */
  void recordInstalled(InstanceId instance, String incarnation, long installed) {
    Holder holder = holders.get(new Key(instance, incarnation));
    if (holder != null) {
      holder.installedNumber = Math.max(holder.installedNumber, installed);
    }
  }

  /**
   * The greatest number, at most {@code current}, such that every lease holder has installed it or
   * a later one; 0 while leases of earlier leaders may last.
   */
  long inForce(long current, long nowMs) {
    if (nowMs < earlierLeasesEndMs) {
      return 0;
    }
    holders.values().removeIf(holder -> holder.leaseEndMs <= nowMs);
    long smallest = current;
    for (Holder holder : holders.values()) {
      smallest = Math.min(smallest, holder.installedNumber);
    }
    return smallest;
  }

  int size() {
    return holders.size();
  }

  private record Key(InstanceId instance, String incarnation) {}

  private static final class Holder {
    private long installedNumber;
    private long leaseEndMs = Long.MIN_VALUE;
  }
}
