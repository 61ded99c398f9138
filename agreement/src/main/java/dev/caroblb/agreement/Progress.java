package dev.caroblb.agreement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** What the leader knows of the log of one other replica. */
final class Progress {
  private final Member member;
  private final Deque<Batch> inFlight = new ArrayDeque<>();
  private long nextIndex;
  private long matchIndex;
  private long inFlightBytes;
  private long acknowledgedSentMs = Long.MIN_VALUE;
  private long heardMs;
  private Optional<SnapshotTransfer> transfer = Optional.empty();

  Progress(Member member, long nextIndex, long nowMs) {
    this.heardMs = nowMs;
    this.member = member;
    this.nextIndex = nextIndex;
  }

  Member member() {
    return member;
  }

  long nextIndex() {
    return nextIndex;
  }

  /** Last entry that the replica reported as synced. */
  long matchIndex() {
    return matchIndex;
  }

  /** Latest time on the leader's clock at which it sent something that the replica answered. */
  long acknowledgedSentMs() {
    return acknowledgedSentMs;
  }

  boolean heardSince(long timeMs) {
    return heardMs >= timeMs;
  }

  Optional<SnapshotTransfer> transfer() {
    return transfer;
  }

  boolean hasRoom() {
    return inFlightBytes < Timing.MAX_IN_FLIGHT_BYTES;
  }

  /** Takes note of an answer to what was sent at the given time. */
  void heard(long sentMs, long nowMs) {
    acknowledgedSentMs = Math.max(acknowledgedSentMs, Math.min(sentMs, nowMs));
    heardMs = nowMs;
  }

  /** Entries were handed to the transport; the next ones follow without waiting for the answer. */
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

  /** The replica lacks the entry before those that were sent; all after the hint go again. */
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
