package dev.caroblb.agreement;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Payload;
import dev.caroblb.core.ProposalOutcome;
import dev.caroblb.core.StateMachine;
import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/** Applies committed entries to the state machine, replies to proposers and takes snapshots. */
final class Applier {
  private final ReplicatedLog log;
  private final GroupJournal journal;
  private final StateMachine machine;
  private final RetryQueue<ProposalOutcome> replies;
  private final NavigableMap<Long, Pending> pending = new TreeMap<>();
  private long commitIndex;
  private long pendingBytes;
  private long bytesSinceSnapshot;

  Applier(
      ReplicatedLog log,
      GroupJournal journal,
      StateMachine machine,
      RetryQueue<ProposalOutcome> replies) {
    this.log = log;
    this.journal = journal;
    this.machine = machine;
    this.replies = replies;
    Snapshot snapshot = log.snapshot();
    commitIndex = snapshot.lastIndex();
    if (snapshot.lastIndex() > 0) {
      machine.restore(snapshot.state());
    }
  }

  /** Index of the last entry known to be committed; all entries up to it are applied. */
  long commitIndex() {
    return commitIndex;
  }

  /** Whether commands were applied that are not in the last snapshot. */
  boolean hasCommandsSinceSnapshot() {
    return bytesSinceSnapshot > 0;
  }

  /** Whether the limits on pending proposals allow another one. */
  boolean hasRoom(Payload command) {
    return pending.size() < ConsensusConstants.MAX_PENDING_PROPOSALS
        && pendingBytes + command.size() <= ConsensusConstants.MAX_PENDING_BYTES;
  }

  /** Registers the reply for the command at the given index. */
  void awaitCommit(long index, Payload command, Outlet<ProposalOutcome> reply) {
    pending.put(index, new Pending(command.size(), reply));
    pendingBytes += command.size();
  }

  /**
   * Reports an unknown outcome for all pending proposals, because leadership ended before their
   * commands were committed.
   */
  void abandonProposals() {
    for (Pending waiting : pending.values()) {
      replies.send(waiting.reply(), new ProposalOutcome.Unknown());
    }
    pending.clear();
    pendingBytes = 0;
  }

  void refuse(Outlet<ProposalOutcome> reply, Optional<InstanceId> leader) {
    replies.send(reply, new ProposalOutcome.NotLeader(leader));
  }

  /** Commits and applies the entries up to the given index. */
  void commitTo(long index) {
    boolean membersChanged = false;
    while (commitIndex < index) {
      commitIndex++;
      LogEntry entry = log.entry(commitIndex);
      bytesSinceSnapshot += entry.payload().size();
      membersChanged |= entry.kind() == EntryKind.MEMBERS;
      if (entry.kind() == EntryKind.COMMAND) {
        reply(commitIndex, machine.apply(entry.payload()));
      }
    }
    if (membersChanged || snapshotDue()) {
      takeSnapshot();
    }
  }

  /** Replaces the state with a snapshot from another replica. */
  void install(Snapshot snapshot) {
    boolean keepLaterEntries = log.contains(snapshot.lastIndex(), snapshot.lastTerm());
    machine.restore(snapshot.state());
    commitIndex = snapshot.lastIndex();
    bytesSinceSnapshot = 0;
    if (!keepLaterEntries) {
      log.reset(snapshot);
      journal.saveSnapshot(snapshot, false);
      return;
    }
    log.compact(snapshot);
    journal.saveSnapshot(snapshot, true);
  }

  private boolean snapshotDue() {
    return commitIndex - log.snapshot().lastIndex() >= ConsensusConstants.SNAPSHOT_ENTRIES
        || bytesSinceSnapshot >= ConsensusConstants.SNAPSHOT_BYTES;
  }

  /**
   * Takes a snapshot of the applied state. One is taken after every committed change of members: a
   * restarted replica knows only from a snapshot that its newest member list is committed, and
   * {@link Quorum} needs the previous list as long as that is not known.
   */
  void takeSnapshot() {
    long term = log.termAt(commitIndex).orElseThrow();
    List<Member> members = new ArrayList<>(log.members().at(commitIndex));
    Snapshot snapshot = new Snapshot(commitIndex, term, members, machine.snapshot());
    log.compact(snapshot);
    journal.saveSnapshot(snapshot, true);
    bytesSinceSnapshot = 0;
  }

  private void reply(long index, Payload result) {
    Pending waiting = pending.remove(index);
    if (waiting == null) {
      return;
    }
    pendingBytes -= waiting.bytes();
    replies.send(waiting.reply(), new ProposalOutcome.Applied(result));
  }

  private record Pending(int bytes, Outlet<ProposalOutcome> reply) {}
}
