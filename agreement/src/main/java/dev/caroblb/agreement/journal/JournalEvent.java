package dev.caroblb.agreement.journal;

import dev.caroblb.core.GroupId;

/** Result reported by the journal duty. */
public sealed interface JournalEvent {
  /** All messages of the group up to the sequence number are synced to disk. */
  record Synced(GroupId group, long sequence) implements JournalEvent {}

  /** Storage failed; the replica must stop and must not serve from its state in memory. */
  record Failed(String message) implements JournalEvent {}
}
