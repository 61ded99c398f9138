package dev.caroblb.configuration;

import dev.caroblb.core.InstanceId;
import java.util.HashMap;
import java.util.Map;

/** Leases that this leader granted, from which it derives the number in force everywhere. */
final class LeaseHolders {
  /** Lease of an entry plus 1%, the bound on the difference of two clocks' rates. */
  static final long HOLD_MS = EntryRole.LEASE_MS + EntryRole.LEASE_MS / 100;

  private final Map<Key, Holder> holders = new HashMap<>();
  private long waitUntilMs;

  /** Starts a leadership: leases of earlier leaders, unknown here, may last for a full lease. */
  void restart(long nowMs) {
    holders.clear();
    waitUntilMs = nowMs + HOLD_MS;
  }

  /** Records a lease for a process that has installed the given number. */
  void granted(InstanceId instance, String incarnation, long installed, long nowMs) {
    Holder holder = holders.computeIfAbsent(new Key(instance, incarnation), key -> new Holder());
    holder.installed = Math.max(holder.installed, installed);
    holder.leaseEndMs = Math.max(holder.leaseEndMs, nowMs + HOLD_MS);
  }

  /** Records the installed number of a process that gets no lease. */
  void acknowledged(InstanceId instance, String incarnation, long installed) {
    Holder holder = holders.get(new Key(instance, incarnation));
    if (holder != null) {
      holder.installed = Math.max(holder.installed, installed);
    }
  }

  /** The greatest number, up to {@code current}, under which every entry admits calls. */
  long inForce(long current, long nowMs) {
    if (nowMs < waitUntilMs) {
      return 0;
    }
    holders.values().removeIf(holder -> holder.leaseEndMs <= nowMs);
    long smallest = current;
    for (Holder holder : holders.values()) {
      smallest = Math.min(smallest, holder.installed);
    }
    return smallest;
  }

  int size() {
    return holders.size();
  }

  private record Key(InstanceId instance, String incarnation) {}

  private static final class Holder {
    private long installed;
    private long leaseEndMs = Long.MIN_VALUE;
  }
}
