package dev.caroblb.agreement;

import dev.caroblb.core.InstanceId;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Leader side of replication: sends entries, heartbeats and snapshots, and tracks the responses.
 */
final class Replication {
  private final GroupContext context;
  private final ReplicatedLog log;
  private final GroupJournal journal;
  private final Map<Member, Progress> followers = new LinkedHashMap<>();
  private long term;

  Replication(GroupContext context, ReplicatedLog log, GroupJournal journal) {
    this.context = context;
    this.log = log;
    this.journal = journal;
  }

  /** Restarts replication as the leader of a new term. */
  void start(long newTerm, Collection<Member> recipients, long nowMs) {
    term = newTerm;
    followers.clear();
    setRecipients(recipients, nowMs);
  }

  /** Sets the members and learners to replicate to; the leader itself is skipped. */
  void setRecipients(Collection<Member> recipients, long nowMs) {
    followers.keySet().removeIf(member -> !recipients.contains(member));
    for (Member recipient : recipients) {
      if (!recipient.equals(context.self())) {
        followers.computeIfAbsent(recipient, key -> new Progress(key, log.lastIndex() + 1, nowMs));
      }
    }
  }

  Optional<Progress> progress(Member member) {
    return Optional.ofNullable(followers.get(member));
  }

  /** Whether a replica at the slot has responded since the given time. */
  boolean respondedSince(InstanceId slot, long timeMs) {
    for (Progress follower : followers.values()) {
      if (follower.member().instance().equals(slot) && follower.respondedSince(timeMs)) {
        return true;
      }
    }
    return false;
  }

  /** Sends a heartbeat to all, even if entries were sent just before. */
  void heartbeat(long commitIndex, long nowMs) {
    for (Progress follower : followers.values()) {
      sendAppend(follower, List.of(), commitIndex, nowMs);
      sendPending(follower, commitIndex, nowMs);
    }
  }

  /** Sends all entries that were not sent yet. */
  void sendNewEntries(long commitIndex, long nowMs) {
    for (Progress follower : followers.values()) {
      sendPending(follower, commitIndex, nowMs);
    }
  }

  void receive(
      Progress follower, PeerMessage.AppendResponse response, long commitIndex, long nowMs) {
    follower.recordResponse(response.sentMs(), nowMs);
    if (response.matched()) {
      follower.matched(Math.min(response.index(), log.lastIndex()));
    } else {
      follower.rejected(response.index());
    }
    sendPending(follower, commitIndex, nowMs);
  }

  void receive(
      Progress follower, PeerMessage.SnapshotProgress progress, long commitIndex, long nowMs) {
    follower.recordResponse(progress.sentMs(), nowMs);
    if (follower.transfer().isEmpty()) {
      return;
    }
    SnapshotTransfer transfer = follower.transfer().get();
    if (progress.lastIndex() != transfer.snapshot().lastIndex()) {
      return;
    }
    if (progress.receivedBytes() >= transfer.snapshot().state().size()) {
      follower.endTransfer(progress.lastIndex());
    } else {
      transfer.received(progress.receivedBytes());
    }
    sendPending(follower, commitIndex, nowMs);
  }

  /**
   * Index of the last entry that a quorum has synced. The leader counts as a member with the
   * entries that its own journal has synced.
   */
  long quorumIndex(Quorum quorum) {
    return quorum.highest(
        member -> {
          if (member.equals(context.self())) {
            return journal.syncedIndex();
          }
          return progress(member).map(Progress::matchIndex).orElse(0L);
        });
  }

  /**
   * Latest send time that a quorum has acknowledged. The leader itself counts with the current
   * time.
   */
  long quorumSentMs(Quorum quorum, long nowMs) {
    return quorum.highest(
        member -> {
          if (member.equals(context.self())) {
            return nowMs;
          }
          return progress(member).map(Progress::acknowledgedSentMs).orElse(Long.MIN_VALUE);
        });
  }

  private void sendPending(Progress follower, long commitIndex, long nowMs) {
    if (follower.nextIndex() < log.firstIndex() && follower.transfer().isEmpty()) {
      follower.startTransfer(log.snapshot());
    }
    if (follower.transfer().isPresent()) {
      sendChunk(follower.member(), follower.transfer().get(), nowMs);
      return;
    }
    while (follower.nextIndex() <= log.lastIndex() && follower.hasRoom()) {
      List<LogEntry> batch = log.batchFrom(follower.nextIndex());
      if (!sendAppend(follower, batch, commitIndex, nowMs)) {
        return;
      }
      follower.sent(batch);
    }
  }

  private boolean sendAppend(
      Progress follower, List<LogEntry> entries, long commitIndex, long nowMs) {
    long previous = Math.max(follower.nextIndex(), log.firstIndex()) - 1;
    PeerMessage request =
        new PeerMessage.AppendRequest(
            context.group(),
            context.self().incarnation(),
            term,
            nowMs,
            previous,
            log.termAt(previous).orElseThrow(),
            commitIndex,
            entries);
    return context.peers().send(follower.member().instance(), request);
  }

  private void sendChunk(Member member, SnapshotTransfer transfer, long nowMs) {
    if (!transfer.due(nowMs)) {
      return;
    }
    Snapshot snapshot = transfer.snapshot();
    PeerMessage chunk =
        new PeerMessage.SnapshotChunk(
            context.group(),
            context.self().incarnation(),
            term,
            nowMs,
            snapshot.lastIndex(),
            snapshot.lastTerm(),
            snapshot.members(),
            snapshot.state().size(),
            transfer.offset(),
            transfer.chunk());
    if (context.peers().send(member.instance(), chunk)) {
      transfer.sent(nowMs);
    }
  }
}
