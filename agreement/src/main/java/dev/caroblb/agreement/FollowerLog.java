package dev.caroblb.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Follower side of replication: brings the log in line with the leader's. */
final class FollowerLog {
  private final ReplicatedLog log;
  private final GroupJournal journal;
  private final Applier applier;
  private final SnapshotReceiver snapshotReceiver = new SnapshotReceiver();

  /** Term of the leader to which {@code verifiedIndex} and {@code acknowledgedIndex} refer. */
  private long verifiedTerm;

  /** Index up to which the log is known to equal the leader's. */
  private long verifiedIndex;

  private long acknowledgedIndex;

  FollowerLog(ReplicatedLog log, GroupJournal journal, Applier applier) {
    this.log = log;
    this.journal = journal;
    this.applier = applier;
  }

  /**
   * Appends the entries of a request from the leader of the current term. Returns empty if the log
   * contains the entry before them, otherwise an index up to which the logs may be equal.
   */
  Optional<Long> append(PeerMessage.AppendRequest request) {
    enterTerm(request.term());
    long previous = request.previousIndex();
    if (previous > applier.commitIndex() && !log.contains(previous, request.previousTerm())) {
      return Optional.of(conflictHint(previous));
    }
    List<LogEntry> newEntries = newEntries(request.entries());
    if (!newEntries.isEmpty()) {
      replaceFrom(newEntries);
    }
    verify(previous + request.entries().size());
    applier.commitTo(Math.max(applier.commitIndex(), commitFor(request)));
    return Optional.empty();
  }

  /** Adds a chunk. Returns the number of snapshot bytes that need not be sent again. */
  long receive(PeerMessage.SnapshotChunk chunk) {
    enterTerm(chunk.term());
    if (chunk.lastIndex() <= applier.commitIndex()) {
      return chunk.totalBytes();
    }
    Optional<Snapshot> complete = snapshotReceiver.receive(chunk);
    if (complete.isEmpty()) {
      return snapshotReceiver.receivedBytes();
    }
    applier.install(complete.get());
    verify(chunk.lastIndex());
    return chunk.totalBytes();
  }

  /** Index of the last entry that is on disk and equals the leader's. */
  long matchIndex() {
    return Math.min(verifiedIndex, journal.syncedIndex());
  }

  /** Whether matching entries are on disk that were not acknowledged yet. */
  boolean hasUnacknowledgedEntries() {
    return matchIndex() > acknowledgedIndex;
  }

  void markAcknowledged() {
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

  /** Returns the entries from the first one on that is not in the log. */
  private List<LogEntry> newEntries(List<LogEntry> entries) {
    for (int i = 0; i < entries.size(); i++) {
      LogEntry entry = entries.get(i);
      if (entry.index() < log.firstIndex() || log.contains(entry.index(), entry.term())) {
        continue;
      }
      return new ArrayList<>(entries.subList(i, entries.size()));
    }
    return List.of();
  }

  private void replaceFrom(List<LogEntry> newEntries) {
    long first = newEntries.get(0).index();
    if (first <= applier.commitIndex()) {
      throw new IllegalStateException(
          "the leader sent entry " + first + ", which is already committed here with another term");
    }
    if (first <= log.lastIndex()) {
      log.truncateFrom(first);
    }
    for (LogEntry entry : newEntries) {
      log.append(entry);
    }
    journal.append(newEntries);
  }

  /** Index up to which the logs may be equal; skips all entries of the conflicting term at once. */
  private long conflictHint(long previous) {
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
