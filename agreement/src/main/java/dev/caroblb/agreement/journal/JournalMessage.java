package dev.caroblb.agreement.journal;

import dev.caroblb.agreement.LogEntry;
import dev.caroblb.agreement.Member;
import dev.caroblb.agreement.Snapshot;
import dev.caroblb.core.GroupId;
import java.util.List;
import java.util.Optional;

/** Request to the journal duty. Sequence numbers increase within a group. */
public sealed interface JournalMessage {
  GroupId group();

  long sequence();

  /** Stores entries; stored entries from the first new index on are replaced. */
  record Append(GroupId group, long sequence, List<LogEntry> entries) implements JournalMessage {
    public Append {
      entries = List.copyOf(entries);
    }
  }

  /** Stores the current term and the vote given in it. */
  record SaveVote(GroupId group, long sequence, long term, Optional<Member> votedFor)
      implements JournalMessage {}

  /**
   * Stores a snapshot and removes the log up to its last index.
   *
   * @param keepLaterEntries whether entries after the snapshot are kept; false if the snapshot came
   *     from another replica and the local log does not contain its last entry
   */
  record SaveSnapshot(GroupId group, long sequence, Snapshot snapshot, boolean keepLaterEntries)
      implements JournalMessage {}
}
