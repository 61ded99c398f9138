package dev.caroblb.agreement.journal;

import dev.caroblb.core.GroupId;

/** Answer of the journal duty. */
public sealed interface JournalEvent {
  /** All messages of the group up to the sequence number are on disk. */
  record Synced(GroupId group, long sequence) implements JournalEvent {}

  /** Storage failed; the replica must stop and must not serve from what it holds. */
  record Failed(String message) implements JournalEvent {}
}
