package dev.caroblb.membership;

import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.TargetId;

/** Input message of the membership duty. */
public sealed interface MembershipMessage {
  /** A target announced itself to this instance. */
  record Announced(Announcement announcement) implements MembershipMessage {}

  /** A target is withdrawn; {@code known} receives whether this instance knew the target. */
  record Withdrawn(TargetId target, Outlet<Boolean> known) implements MembershipMessage {}

  /** A target said in a response to this instance that it leaves. */
  record LeavingObserved(TargetId target, long incarnation) implements MembershipMessage {}

  /** A message from another instance. */
  record FromPeer(PeerEnvelope<PeerMessage> received) implements MembershipMessage {}

  /** This instance has installed the configuration with this number. */
  record ConfigurationInstalled(long number) implements MembershipMessage {}

  /**
   * This instance admits new calls until the given monotonic time. An instance that never sends
   * this message always admits calls.
   */
  record AdmitsUntil(long untilMs) implements MembershipMessage {}

  /** The process was asked to stop; a second request shortens the drain. */
  record StopRequested() implements MembershipMessage {}
}
