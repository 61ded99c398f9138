package dev.caroblb.forwarding;

import dev.caroblb.forwarding.quarantine.Evidence;

/** Messages between instances about requests that crash their targets. */
public sealed interface PeerMessage {
  /** Evidence of the sender about parts of prompts that crash engines, for control instances. */
  record EvidenceReport(Evidence evidence) implements PeerMessage {}

  /** Evidence of all instances that report to the sender. */
  record EvidenceAnnouncement(Evidence evidence) implements PeerMessage {}
}
