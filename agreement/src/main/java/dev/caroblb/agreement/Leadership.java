package dev.caroblb.agreement;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** What a replica does while it leads: appends, commits, extends its lease, changes members. */
final class Leadership {
  private final GroupContext context;
  private final ReplicatedLog log;
  private final GroupJournal journal;
  private final Applier applier;
  private final SlotReports reports;
  private final LeaseKeeper lease;
  private final Replication replication;
  private final MembershipChange change;
  private final List<LogEntry> unsaved = new ArrayList<>();
  private long term;
  private long firstIndex;
  private long startedMs;
  private long nextHeartbeatMs;

  Leadership(
      GroupContext context,
      ReplicatedLog log,
      GroupJournal journal,
      Applier applier,
      SlotReports reports,
      LeaseKeeper lease) {
    this.context = context;
    this.log = log;
    this.journal = journal;
    this.applier = applier;
    this.reports = reports;
    this.lease = lease;
    replication = new Replication(context, log, journal);
    change = new MembershipChange(context.settings(), log, reports);
  }

  /** Starts to lead a term with an entry of its own, which commits those of earlier terms. */
  void start(long newTerm, long nowMs) {
    term = newTerm;
    startedMs = nowMs;
    lease.end();
    unsaved.clear();
    change.start();
    replication.start(term, change.targets(applier.commitIndex()), nowMs);
    if (log.isBlank()) {
      firstIndex = append(EntryKind.MEMBERS, encode(log.members().newest()));
    } else {
      firstIndex = append(EntryKind.NO_OP, Payload.empty());
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
    replication.sendAll(applier.commitIndex(), nowMs);
  }

  /**
   * Stores the appended entries without sending them; the log must never be ahead of the journal.
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
    nextHeartbeatMs = nowMs + Timing.HEARTBEAT_MS;
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

  /** Commits what a quorum has synced and extends the lease by what a quorum has answered. */
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
      replication.retarget(change.targets(applier.commitIndex()), nowMs);
      replication.heartbeat(applier.commitIndex(), nowMs);
    }
  }

  /** Time until which this leader may act; 0 until it has applied all entries of earlier terms. */
  long leaseUntilMs() {
    return applier.commitIndex() >= firstIndex ? lease.validUntilMs() : 0;
  }

  /** Whether no quorum answered for so long that another leader may be elected. */
  boolean lostContact(long nowMs) {
    long answered = Math.max(startedMs, replication.quorumSentMs(quorum(), nowMs));
    return nowMs - answered >= Timing.ELECTION_MIN_MS;
  }

  /** Whether neither a member nor a learner at the slot answers. */
  boolean silent(InstanceId slot, long nowMs) {
    return !replication.heardSince(slot, nowMs - Timing.SILENCE_MS);
  }

  /** All members whose votes or acknowledgements count at present. */
  Collection<Member> votingTargets() {
    Set<Member> targets = new HashSet<>(log.members().newest());
    Quorum quorum = log.members().quorum(applier.commitIndex(), Set.of());
    targets.addAll(quorum.previous().orElse(List.of()));
    return targets;
  }

  /** Members that are proven to be lost. */
  Set<Member> lostMembers() {
    return reports.lost(votingTargets());
  }

  private void changeMembers(long nowMs) {
    if (applier.commitIndex() < firstIndex) {
      return;
    }
    change.chooseLearner(replication, nowMs);
    Optional<List<Member>> next = change.next(applier.commitIndex(), replication, nowMs);
    if (next.isPresent()) {
      append(EntryKind.MEMBERS, encode(next.get()));
      reports.follow(log.members().newest());
    }
    replication.retarget(change.targets(applier.commitIndex()), nowMs);
    flush(nowMs);
  }

  /** Repeats, because a committed member list may let further entries commit. */
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
