package dev.caroblb.agreement;

import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.Outlet;
import java.util.Optional;

/** Offers the lease of a group to an outlet whenever it changes or is extended. */
final class LeaseAnnouncer {
  private final Outlet<LeaderLease> outlet;
  private Optional<LeaderLease> announced = Optional.empty();

  LeaseAnnouncer(Outlet<LeaderLease> outlet) {
    this.outlet = outlet;
  }

  /**
   * Offers the lease if it differs from the last one accepted. Returns false if the outlet refuses
   * it.
   */
  boolean announce(LeaderLease current) {
    if (announced.isPresent() && same(announced.get(), current)) {
      return true;
    }
    if (!outlet.offer(current)) {
      return false;
    }
    announced = Optional.of(current);
    return true;
  }

  /** Whether two leases are equal, or differ only by an extension too small to announce. */
  private static boolean same(LeaderLease a, LeaderLease b) {
    return a.term() == b.term()
        && a.local() == b.local()
        && a.leader().equals(b.leader())
        && b.validUntilMs() >= a.validUntilMs()
        && b.validUntilMs() - a.validUntilMs() < ConsensusConstants.MIN_LEASE_EXTENSION_MS;
  }
}
