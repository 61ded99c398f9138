package dev.caroblb.agreement;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Leader side of a group: appends and commits entries, extends the lease and changes members. */
final class Leadership {
  private final GroupContext context;
  private final ReplicatedLog log;
  private final GroupJournal journal;
  private final Applier applier;
  private final SlotReports reports;
  private final LeaseTracker lease;
  private final Replication replication;
  private final MembershipChange membershipChange;
  private final List<LogEntry> unsaved = new ArrayList<>();
  private long term;
  private long termFirstIndex;
  private long startedMs;
  private long nextHeartbeatMs;

  Leadership(
      GroupContext context,
      ReplicatedLog log,
      GroupJournal journal,
      Applier applier,
      SlotReports reports,
      LeaseTracker lease) {
    this.context = context;
    this.log = log;
    this.journal = journal;
    this.applier = applier;
    this.reports = reports;
    this.lease = lease;
    replication = new Replication(context, log, journal);
    membershipChange = new MembershipChange(context.settings(), log, reports);
  }

  /**
   * Starts to lead a term. Appends an entry of this term, because entries of earlier terms are
   * committed only together with it.
   */
  void start(long newTerm, long nowMs) {
    term = newTerm;
    startedMs = nowMs;
    lease.end();
    unsaved.clear();
    membershipChange.start();
    replication.start(term, membershipChange.recipients(applier.commitIndex()), nowMs);
    if (log.isBlank()) {
      termFirstIndex = append(EntryKind.MEMBERS, encode(log.members().newest()));
    } else {
      termFirstIndex = append(EntryKind.NO_OP, Payload.empty());
    }
    flush(nowMs);
    nextHeartbeatMs = nowMs;
    tick(nowMs);
  }

  /** Appends an entry; {@link #flush(long)} stores and sends it. */
  long append(EntryKind kind, Payload payload) {
    LogEntry entry = new LogEntry(log.lastIndex() + 1, term, kind, payload);
    log.append(entry);
    unsaved.add(entry);
    return entry.index();
  }

  void flush(long nowMs) {
    if (unsaved.isEmpty()) {
      return;
    }
    save();
    replication.sendNewEntries(applier.commitIndex(), nowMs);
  }

  /**
   * Stores the appended entries without sending them. Also called before stepping down, because the
   * log in memory must not stay ahead of the journal.
   */
  void save() {
    if (!unsaved.isEmpty()) {
      journal.append(unsaved);
      unsaved.clear();
    }
  }

  void tick(long nowMs) {
    if (nowMs < nextHeartbeatMs) {
      return;
    }
    nextHeartbeatMs = nowMs + ConsensusConstants.HEARTBEAT_INTERVAL_MS;
    replication.heartbeat(applier.commitIndex(), nowMs);
    advance(nowMs);
    changeMembers(nowMs);
  }

  long nextHeartbeatMs() {
    return nextHeartbeatMs;
  }

  void receive(Member sender, PeerMessage.AppendResponse response, long nowMs) {
    Optional<Progress> follower = replication.progress(sender);
    if (follower.isPresent()) {
      replication.receive(follower.get(), response, applier.commitIndex(), nowMs);
      advance(nowMs);
    }
  }

  void receive(Member sender, PeerMessage.SnapshotProgress progress, long nowMs) {
    Optional<Progress> follower = replication.progress(sender);
    if (follower.isPresent()) {
      replication.receive(follower.get(), progress, applier.commitIndex(), nowMs);
      advance(nowMs);
    }
  }

  /**
   * Commits entries that a quorum has synced, and extends the lease from the latest send time that
   * a quorum has acknowledged.
   */
  void advance(long nowMs) {
    long before = applier.commitIndex();
    commit();
    long sentMs = replication.quorumSentMs(quorum(), nowMs);
    if (sentMs != Long.MIN_VALUE) {
      lease.extend(sentMs);
    }
    boolean membersCommitted =
        before < log.members().newestIndex()
            && applier.commitIndex() >= log.members().newestIndex();
    if (membersCommitted) {
      replication.setRecipients(membershipChange.recipients(applier.commitIndex()), nowMs);
      replication.heartbeat(applier.commitIndex(), nowMs);
    }
  }

  /** Time until which this leader may act; 0 until all entries of earlier terms are applied. */
  long leaseUntilMs() {
    return applier.commitIndex() >= termFirstIndex ? lease.validUntilMs() : 0;
  }

  /** Whether no quorum has responded for so long that another leader may have been elected. */
  boolean hasLostQuorum(long nowMs) {
    long acknowledgedMs = Math.max(startedMs, replication.quorumSentMs(quorum(), nowMs));
    return nowMs - acknowledgedMs >= ConsensusConstants.MIN_ELECTION_TIMEOUT_MS;
  }

  /** Whether no member or learner at the slot has responded recently. */
  boolean isUnresponsive(InstanceId slot, long nowMs) {
    return !replication.respondedSince(slot, nowMs - ConsensusConstants.RESPONSE_TIMEOUT_MS);
  }

  /** Members whose votes and acknowledgements currently count. */
  Collection<Member> votingMembers() {
    Set<Member> voting = new HashSet<>(log.members().newest());
    Quorum quorum = log.members().quorum(applier.commitIndex(), Set.of());
    voting.addAll(quorum.previous().orElse(List.of()));
    return voting;
  }

  /** Voting members whose data folder is proven to be lost. */
  Set<Member> lostMembers() {
    return reports.lost(votingMembers());
  }

  private void changeMembers(long nowMs) {
    if (applier.commitIndex() < termFirstIndex) {
      return;
    }
    membershipChange.chooseLearner(replication, nowMs);
    Optional<List<Member>> next =
        membershipChange.nextMembers(applier.commitIndex(), replication, nowMs);
    if (next.isPresent()) {
      append(EntryKind.MEMBERS, encode(next.get()));
      reports.updateMembers(log.members().newest());
    }
    replication.setRecipients(membershipChange.recipients(applier.commitIndex()), nowMs);
    flush(nowMs);
  }

  /**
   * Commits the entries that a quorum has synced, once the last of them is of this term. Repeats,
   * because a committed member list may allow further entries to commit.
   */
  private void commit() {
    long index = replication.quorumIndex(quorum());
    while (index > applier.commitIndex() && log.contains(index, term)) {
      applier.commitTo(index);
      index = replication.quorumIndex(quorum());
    }
  }

  private Quorum quorum() {
    return log.members().quorum(applier.commitIndex(), lostMembers());
  }

  private Payload encode(List<Member> members) {
    return context.memberCodec().encode(members);
  }
}
