package dev.caroblb.membership;

import dev.caroblb.core.Addressed;

/** Input of the membership duty. */
public sealed interface MembershipMessage {
  /** A target announced itself to this instance. */
  record Announced(Announcement announcement) implements MembershipMessage {}

  /** A message from another instance. */
  record FromPeer(Addressed<PeerMessage> received) implements MembershipMessage {}

  /** The configuration with this number is in force at this instance. */
  record ConfigurationInForce(long number) implements MembershipMessage {}

  /** The process was asked to stop; the second request shortens the drain. */
  record StopRequested() implements MembershipMessage {}
}
