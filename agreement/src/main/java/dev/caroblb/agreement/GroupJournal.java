package dev.caroblb.agreement;

import dev.caroblb.agreement.journal.JournalMessage;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.Outlet;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** Sends a group's journal messages with sequence numbers and tracks which ones are synced. */
final class GroupJournal {
  private final GroupId group;
  private final Outlet<JournalMessage> outlet;
  private final Deque<Pending> pending = new ArrayDeque<>();
  private long sequence;
  private long syncedSequence;
  private long voteSequence;
  private long syncedIndex;

  GroupJournal(GroupId group, Outlet<JournalMessage> outlet, long recoveredIndex) {
    this.group = group;
    this.outlet = outlet;
    this.syncedIndex = recoveredIndex;
  }

  /** Stores entries; stored entries from the first new index on are replaced. */
  void append(List<LogEntry> entries) {
    sequence++;
    truncateTo(entries.get(0).index() - 1);
    pending.add(new Pending(sequence, entries.get(entries.size() - 1).index()));
    outlet.offer(new JournalMessage.Append(group, sequence, entries));
  }

  void saveVote(long term, Optional<Member> votedFor) {
    sequence++;
    voteSequence = sequence;
    outlet.offer(new JournalMessage.SaveVote(group, sequence, term, votedFor));
  }

  void saveSnapshot(Snapshot snapshot, boolean keepLaterEntries) {
    sequence++;
    if (!keepLaterEntries) {
      truncateTo(snapshot.lastIndex());
    }
    long covered = pending.isEmpty() ? syncedIndex : pending.getLast().index();
    pending.add(new Pending(sequence, Math.max(covered, snapshot.lastIndex())));
    outlet.offer(new JournalMessage.SaveSnapshot(group, sequence, snapshot, keepLaterEntries));
  }

  /** Records that all messages up to a sequence number are on disk. */
  void synced(long upTo) {
    syncedSequence = Math.max(syncedSequence, upTo);
    while (!pending.isEmpty() && pending.peek().sequence() <= syncedSequence) {
      syncedIndex = pending.remove().index();
    }
  }

  /** Index of the last entry of the current log that is on disk. */
  long syncedIndex() {
    return syncedIndex;
  }

  /** Whether the current term and vote are on disk. */
  boolean voteSynced() {
    return syncedSequence >= voteSequence;
  }

  /** Records that entries after the index are replaced: a sync of the old ones no longer counts. */
  private void truncateTo(long index) {
    syncedIndex = Math.min(syncedIndex, index);
    int size = pending.size();
    for (int i = 0; i < size; i++) {
      Pending item = pending.remove();
      pending.add(new Pending(item.sequence(), Math.min(item.index(), index)));
    }
  }

  private record Pending(long sequence, long index) {}
}
