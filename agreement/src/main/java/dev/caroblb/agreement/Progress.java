package dev.caroblb.agreement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** Replication state of one other replica, as known to the leader. */
final class Progress {
  private final Member member;
  private final Deque<Batch> inFlight = new ArrayDeque<>();
  private long nextIndex;
  private long matchIndex;
  private long inFlightBytes;
  private long acknowledgedSentMs = Long.MIN_VALUE;
  private long lastResponseMs;
  private Optional<SnapshotTransfer> transfer = Optional.empty();

  Progress(Member member, long nextIndex, long nowMs) {
    this.lastResponseMs = nowMs;
    this.member = member;
    this.nextIndex = nextIndex;
  }

  Member member() {
    return member;
  }

  long nextIndex() {
    return nextIndex;
  }

  /** Index of the last entry that the replica reported as synced. */
  long matchIndex() {
    return matchIndex;
  }

  /** Latest send time, on the leader's clock, of a message that the replica responded to. */
  long acknowledgedSentMs() {
    return acknowledgedSentMs;
  }

  boolean respondedSince(long timeMs) {
    return lastResponseMs >= timeMs;
  }

  Optional<SnapshotTransfer> transfer() {
    return transfer;
  }

  boolean hasRoom() {
    return inFlightBytes < ConsensusConstants.MAX_IN_FLIGHT_BYTES;
  }

  /** Records a response to a message that was sent at the given time. */
  void recordResponse(long sentMs, long nowMs) {
    acknowledgedSentMs = Math.max(acknowledgedSentMs, Math.min(sentMs, nowMs));
    lastResponseMs = nowMs;
  }

  /** Records that entries were sent; the next ones follow without waiting for the response. */
  void sent(List<LogEntry> entries) {
    long bytes = 0;
    for (LogEntry entry : entries) {
      bytes += entry.payload().size();
    }
    nextIndex += entries.size();
    inFlight.add(new Batch(nextIndex - 1, bytes));
    inFlightBytes += bytes;
  }

  void matched(long index) {
    matchIndex = Math.max(matchIndex, index);
    nextIndex = Math.max(nextIndex, matchIndex + 1);
    while (!inFlight.isEmpty() && inFlight.peek().lastIndex() <= matchIndex) {
      inFlightBytes -= inFlight.remove().bytes();
    }
  }

  /**
   * Handles a rejection: the replica lacks the entry before those that were sent. Sending resumes
   * after the hint.
   */
  void rejected(long hint) {
    nextIndex = Math.max(matchIndex, Math.min(hint, nextIndex - 1)) + 1;
    inFlight.clear();
    inFlightBytes = 0;
  }

  void startTransfer(Snapshot snapshot) {
    transfer = Optional.of(new SnapshotTransfer(snapshot));
  }

  void endTransfer(long lastIndex) {
    transfer = Optional.empty();
    nextIndex = Math.max(nextIndex, lastIndex + 1);
  }

  private record Batch(long lastIndex, long bytes) {}
}
