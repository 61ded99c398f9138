package dev.caroblb.evacuation;

/** Messages between the evacuation handlers of two instances. */
public sealed interface PeerMessage {
  /** Revision of the state in force at the sender; 0 if it knows none. */
  record RevisionReport(long revision) implements PeerMessage {}

  /** A committed state. */
  record Announcement(EvacuationState state) implements PeerMessage {}
}
