package dev.caroblb.agreement;

import dev.caroblb.core.MessageCodec;
import dev.caroblb.core.Payload;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** In-memory log of one group, with the latest snapshot and the member lists it contains. */
final class ReplicatedLog {
  private static final Snapshot NO_SNAPSHOT = new Snapshot(0, 0, List.of(), Payload.empty());

  private final MessageCodec<List<Member>> memberCodec;
  private final MemberHistory members = new MemberHistory();
  private final List<LogEntry> entries = new ArrayList<>();
  private Snapshot snapshot = NO_SNAPSHOT;
  private long baseIndex;
  private long baseTerm;

  ReplicatedLog(RecoveredGroup recovered, MessageCodec<List<Member>> memberCodec) {
    this.memberCodec = memberCodec;
    reset(recovered.snapshot().orElse(NO_SNAPSHOT));
    for (LogEntry entry : recovered.entries()) {
      if (entry.index() > lastIndex()) {
        append(entry);
      }
    }
  }

  MemberHistory members() {
    return members;
  }

  Snapshot snapshot() {
    return snapshot;
  }

  /** Whether no entry was ever stored. */
  boolean isBlank() {
    return lastIndex() == 0;
  }

  long lastIndex() {
    return baseIndex + entries.size();
  }

  long lastTerm() {
    return entries.isEmpty() ? baseTerm : entries.get(entries.size() - 1).term();
  }

  /** Index of the first entry that {@link #entry(long)} can return. */
  long firstIndex() {
    return baseIndex + 1;
  }

  /** Term of an entry or of the one before the first; empty if the log does not contain it. */
  OptionalLong termAt(long index) {
    if (index == baseIndex) {
      return OptionalLong.of(baseTerm);
    }
    if (index < baseIndex || index > lastIndex()) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(entry(index).term());
  }

  /** Whether the log contains an entry with the given index and term. */
  boolean contains(long index, long term) {
    OptionalLong known = termAt(index);
    return known.isPresent() && known.getAsLong() == term;
  }

  LogEntry entry(long index) {
    return entries.get((int) (index - baseIndex - 1));
  }

  void append(LogEntry entry) {
    if (entry.index() != lastIndex() + 1) {
      throw new IllegalStateException(
          "entry " + entry.index() + " does not follow entry " + lastIndex());
    }
    entries.add(entry);
    if (entry.kind() == EntryKind.MEMBERS) {
      members.add(entry.index(), decodeMembers(entry));
    }
  }

  /** Removes the entries from the given index on. */
  void truncateFrom(long index) {
    entries.subList((int) (index - baseIndex - 1), entries.size()).clear();
    members.truncateFrom(index);
  }

  /**
   * Returns entries from an index on, within the limits of a message. The first entry is included
   * even if it exceeds them.
   */
  List<LogEntry> batchFrom(long index) {
    List<LogEntry> batch = new ArrayList<>();
    long bytes = 0;
    for (long i = index;
        i <= lastIndex() && batch.size() < ConsensusConstants.MAX_BATCH_ENTRIES;
        i++) {
      LogEntry entry = entry(i);
      bytes += entry.payload().size();
      if (!batch.isEmpty() && bytes > ConsensusConstants.MAX_BATCH_BYTES) {
        break;
      }
      batch.add(entry);
    }
    return batch;
  }

  /**
   * Adopts a snapshot of entries in this log. Removes the entries up to it, except for the last
   * ones, which are retained for slow followers.
   */
  void compact(Snapshot newSnapshot) {
    snapshot = newSnapshot;
    members.compactTo(newSnapshot.lastIndex());
    long bytes = 0;
    long keepFrom = newSnapshot.lastIndex() + 1;
    while (keepFrom > firstIndex()
        && newSnapshot.lastIndex() - keepFrom < ConsensusConstants.RETAINED_ENTRIES - 1
        && bytes <= ConsensusConstants.RETAINED_BYTES) {
      keepFrom--;
      bytes += entry(keepFrom).payload().size();
    }
    long newBase = keepFrom - 1;
    long newBaseTerm = termAt(newBase).orElseThrow();
    entries.subList(0, (int) (newBase - baseIndex)).clear();
    baseIndex = newBase;
    baseTerm = newBaseTerm;
  }

  /** Replaces the whole log with a snapshot. */
  void reset(Snapshot newSnapshot) {
    snapshot = newSnapshot;
    entries.clear();
    baseIndex = newSnapshot.lastIndex();
    baseTerm = newSnapshot.lastTerm();
    members.reset(newSnapshot.lastIndex(), newSnapshot.members());
  }

  private List<Member> decodeMembers(LogEntry entry) {
    Optional<List<Member>> decoded = memberCodec.decode(entry.payload());
    return decoded.orElseThrow(
        () ->
            new IllegalStateException(
                "entry " + entry.index() + " does not contain a valid member list"));
  }
}
