package dev.caroblb.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Follower side of replication: makes the log equal to that of the leader. */
final class FollowerLog {
  private final ReplicatedLog log;
  private final GroupJournal journal;
  private final Applier applier;
  private final SnapshotReceiver snapshots = new SnapshotReceiver();
  private long verifiedTerm;
  private long verifiedIndex;
  private long acknowledgedIndex;

  FollowerLog(ReplicatedLog log, GroupJournal journal, Applier applier) {
    this.log = log;
    this.journal = journal;
    this.applier = applier;
  }

  /**
   * Takes the entries of a request from the leader of the current term. Returns empty when the log
   * matches, otherwise an index up to which the logs may be equal.
   */
  Optional<Long> append(PeerMessage.AppendRequest request) {
    enterTerm(request.term());
    long previous = request.previousIndex();
    if (previous > applier.commitIndex() && !log.contains(previous, request.previousTerm())) {
      return Optional.of(hintFor(previous));
    }
    List<LogEntry> fresh = freshEntries(request.entries());
    if (!fresh.isEmpty()) {
      replaceFrom(fresh);
    }
    verify(previous + request.entries().size());
    applier.commitTo(Math.max(applier.commitIndex(), commitFor(request)));
    return Optional.empty();
  }

  /** Takes a chunk; returns the number of bytes of the snapshot that need not be sent again. */
  long receive(PeerMessage.SnapshotChunk chunk) {
    enterTerm(chunk.term());
    if (chunk.lastIndex() <= applier.commitIndex()) {
      return chunk.totalBytes();
    }
    Optional<Snapshot> complete = snapshots.receive(chunk);
    if (complete.isEmpty()) {
      return snapshots.receivedBytes();
    }
    applier.install(complete.get());
    verify(chunk.lastIndex());
    return chunk.totalBytes();
  }

  /** Last entry that is on disk and equals the leader's. */
  long matchIndex() {
    return Math.min(verifiedIndex, journal.syncedIndex());
  }

  /** Whether more entries are on disk than the last acknowledgement said. */
  boolean owesAcknowledgement() {
    return matchIndex() > acknowledgedIndex;
  }

  void acknowledged() {
    acknowledgedIndex = matchIndex();
  }

  private void enterTerm(long term) {
    if (term == verifiedTerm) {
      return;
    }
    verifiedTerm = term;
    verifiedIndex = applier.commitIndex();
    acknowledgedIndex = 0;
  }

  private void verify(long index) {
    verifiedIndex = Math.max(verifiedIndex, Math.min(index, log.lastIndex()));
  }

  private long commitFor(PeerMessage.AppendRequest request) {
    return Math.min(request.commitIndex(), verifiedIndex);
  }

  /** Entries from the first one on that the log does not hold. */
  private List<LogEntry> freshEntries(List<LogEntry> entries) {
    for (int i = 0; i < entries.size(); i++) {
      LogEntry entry = entries.get(i);
      if (entry.index() < log.firstIndex() || log.contains(entry.index(), entry.term())) {
        continue;
      }
      return new ArrayList<>(entries.subList(i, entries.size()));
    }
    return List.of();
  }

  private void replaceFrom(List<LogEntry> fresh) {
    long first = fresh.get(0).index();
    if (first <= applier.commitIndex()) {
      throw new IllegalStateException(
          "the leader sent another entry " + first + " than the one that is committed here");
    }
    if (first <= log.lastIndex()) {
      log.truncateFrom(first);
    }
    for (LogEntry entry : fresh) {
      log.append(entry);
    }
    journal.append(fresh);
  }

  /** Skips all entries of the conflicting term at once. */
  private long hintFor(long previous) {
    if (log.lastIndex() < previous) {
      return log.lastIndex();
    }
    long hint = previous - 1;
    long term = log.termAt(previous).orElseThrow();
    while (hint > applier.commitIndex() && log.contains(hint, term)) {
      hint--;
    }
    return hint;
  }
}
