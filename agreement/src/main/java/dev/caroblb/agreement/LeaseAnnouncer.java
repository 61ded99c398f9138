package dev.caroblb.agreement;

import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.Outlet;
import java.util.Optional;

/** Offers the lease of a group to its outlet whenever it changes or is extended. */
final class LeaseAnnouncer {
  private final Outlet<LeaderLease> outlet;
  private Optional<LeaderLease> announced = Optional.empty();

  LeaseAnnouncer(Outlet<LeaderLease> outlet) {
    this.outlet = outlet;
  }

  /** Offers the lease if it differs from the last one taken; false if the outlet refuses it. */
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

  /** Whether two leases differ by no more than a small extension. */
  private static boolean same(LeaderLease a, LeaderLease b) {
    return a.term() == b.term()
        && a.local() == b.local()
        && a.leader().equals(b.leader())
        && b.validUntilMs() >= a.validUntilMs()
        && b.validUntilMs() - a.validUntilMs() < Timing.LEASE_STEP_MS;
  }
}
