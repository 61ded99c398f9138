package dev.caroblb.agreement;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.LogLine;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Payload;
import dev.caroblb.core.ProposalOutcome;
import java.util.Optional;
import java.util.Set;

/** One replica of one group: keeps its role and dispatches messages to its components. */
final class ConsensusGroup {
  private static final System.Logger LOGGER = System.getLogger(ConsensusGroup.class.getName());

  private final GroupContext context;
  private final ReplicatedLog log;
  private final GroupJournal journal;
  private final VoteState voteState;
  private final Applier applier;
  private final FollowerLog followerLog;
  private final LeaseTracker lease;
  private final SlotReports reports;
  private final GroupBootstrap groupBootstrap;
  private final Election election;
  private final Voter voter;
  private final Leadership leadership;
  private final LeaseAnnouncer leaseAnnouncer;
  private final IdleSnapshots idleSnapshots;
  private final GroupStateLogger stateLogger;
  private Role role = Role.FOLLOWER;
  private Optional<InstanceId> leader = Optional.empty();
  private long lastLeaderSentMs;
  private long nextProbeMs;

  ConsensusGroup(GroupContext context, RecoveredGroup recovered, long nowMs) {
    this.context = context;
    log = new ReplicatedLog(recovered, context.memberCodec());
    journal = new GroupJournal(context.group(), context.journal(), log.lastIndex());
    voteState = new VoteState(recovered, journal);
    applier = new Applier(log, journal, context.machine(), context.replies());
    followerLog = new FollowerLog(log, journal, applier);
    lease = new LeaseTracker(nowMs);
    reports = new SlotReports(context.group(), context.self(), context.peers(), context.random());
    groupBootstrap = new GroupBootstrap(context, log, journal, reports);
    election = new Election(context, log, nowMs);
    voter = new Voter(context, log, journal, voteState);
    leadership = new Leadership(context, log, journal, applier, reports, lease);
    leaseAnnouncer = new LeaseAnnouncer(context.leases());
    idleSnapshots = new IdleSnapshots(applier, context.machine().snapshotsWhenIdle(), nowMs);
    stateLogger = new GroupStateLogger(context.group());
    nextProbeMs = nowMs;
  }

  void propose(Payload command, Outlet<ProposalOutcome> reply) {
    boolean tooLarge = command.size() > ConsensusConstants.MAX_COMMAND_BYTES;
    if (role != Role.LEADER || tooLarge || !applier.hasRoom(command)) {
      applier.refuse(reply, leader);
      return;
    }
    long index = leadership.append(EntryKind.COMMAND, command);
    applier.awaitCommit(index, command, reply);
  }

  void receive(InstanceId peer, PeerMessage message, long nowMs) {
    if (message instanceof PeerMessage.AppendRequest request) {
      receiveAppend(peer, request, nowMs);
    } else if (message instanceof PeerMessage.AppendResponse response) {
      receiveAppendResponse(peer, response, nowMs);
    } else if (message instanceof PeerMessage.VoteRequest request) {
      receiveVoteRequest(peer, request, nowMs);
    } else if (message instanceof PeerMessage.VoteResponse response) {
      receiveVoteResponse(peer, response, nowMs);
    } else if (message instanceof PeerMessage.SnapshotChunk chunk) {
      receiveChunk(peer, chunk, nowMs);
    } else if (message instanceof PeerMessage.SnapshotProgress progress) {
      receiveSnapshotProgress(peer, progress, nowMs);
    } else if (message instanceof PeerMessage.Probe probe) {
      context.peers().send(peer, report(probe));
    } else if (message instanceof PeerMessage.Report report) {
      receiveReport(peer, report);
    } else if (message instanceof PeerMessage.InitialMembers initialMembers
        && groupBootstrap.receive(peer, initialMembers)) {
      election.reset(nowMs);
    }
    reports.updateMembers(log.members().newest());
    idleSnapshots.poll(nowMs);
  }

  /** Handles a report that the journal has synced all messages up to the sequence number. */
  void synced(long sequence, long nowMs) {
    journal.synced(sequence);
    if (!journal.voteSynced()) {
      return;
    }
    voter.sendPendingGrant();
    if (election.phase() == Election.Phase.SAVING_VOTE) {
      election.enter(Election.Phase.VOTE);
      election.addVote(context.self());
      election.requestVotes(voteState.term(), leadership.votingMembers());
      countVotes(nowMs);
    }
    if (role == Role.LEADER) {
      leadership.advance(nowMs);
    } else if (leader.isPresent() && followerLog.hasUnacknowledgedEntries()) {
      acknowledge(leader.get());
    }
  }

  void tick(long nowMs) {
    if (nowMs >= nextProbeMs) {
      nextProbeMs = nowMs + ConsensusConstants.PROBE_INTERVAL_MS;
      probe(nowMs);
    }
    if (role == Role.LEADER) {
      tickLeader(nowMs);
    } else if (election.due(nowMs)) {
      campaign(nowMs);
    }
    idleSnapshots.poll(nowMs);
  }

  /** Stores and sends the entries that were appended since the last call. */
  void flush(long nowMs) {
    if (role == Role.LEADER) {
      leadership.flush(nowMs);
    }
  }

  long nextTickMs() {
    long due = role == Role.LEADER ? leadership.nextHeartbeatMs() : election.deadlineMs();
    return Math.min(Math.min(due, nextProbeMs), idleSnapshots.dueMs());
  }

  GroupStatus status() {
    return new GroupStatus(
        context.group(),
        role,
        voteState.term(),
        leader,
        log.members().newest(),
        log.lastIndex(),
        applier.commitIndex(),
        log.snapshot().lastIndex());
  }

  /** Gives up leadership permanently, because the replica stops. */
  void stop() {
    role = Role.FOLLOWER;
    leader = Optional.empty();
    lease.end();
    applier.abandonProposals();
  }

  /** Logs and offers what has changed. Returns false if the outlet refuses a changed lease. */
  boolean announce() {
    stateLogger.update(leader, log.members().newest(), voteState.term());
    boolean leads = role == Role.LEADER;
    return leaseAnnouncer.announce(
        new LeaderLease(
            context.group(),
            voteState.term(),
            leader,
            leads,
            leads ? leadership.leaseUntilMs() : 0));
  }

  private void receiveAppend(InstanceId peer, PeerMessage.AppendRequest request, long nowMs) {
    if (!acceptLeader(peer, request.term(), nowMs)) {
      sendAppendResponse(peer, request.sentMs(), false, 0);
      return;
    }
    lastLeaderSentMs = request.sentMs();
    Optional<Long> hint = followerLog.append(request);
    if (!journal.voteSynced()) {
      return;
    }
    if (hint.isPresent()) {
      sendAppendResponse(peer, request.sentMs(), false, hint.get());
    } else if (request.entries().isEmpty() || followerLog.hasUnacknowledgedEntries()) {
      acknowledge(peer);
    }
  }

  private void receiveChunk(InstanceId peer, PeerMessage.SnapshotChunk chunk, long nowMs) {
    if (!acceptLeader(peer, chunk.term(), nowMs)) {
      sendAppendResponse(peer, chunk.sentMs(), false, 0);
      return;
    }
    lastLeaderSentMs = chunk.sentMs();
    long received = followerLog.receive(chunk);
    if (!journal.voteSynced()) {
      return;
    }
    context
        .peers()
        .send(
            peer,
            new PeerMessage.SnapshotProgress(
                context.group(),
                context.self().incarnation(),
                voteState.term(),
                chunk.sentMs(),
                chunk.lastIndex(),
                received));
  }

  /** Accepts the sender as the leader of the term. Returns false if the term is outdated. */
  private boolean acceptLeader(InstanceId peer, long term, long nowMs) {
    if (term < voteState.term()) {
      return false;
    }
    enterTerm(term, nowMs);
    if (role == Role.LEADER) {
      throw new IllegalStateException("two leaders in term " + term + ": here and " + peer);
    }
    role = Role.FOLLOWER;
    leader = Optional.of(peer);
    lease.heardFromLeader(nowMs);
    election.reset(nowMs);
    return true;
  }

  private void acknowledge(InstanceId peer) {
    followerLog.markAcknowledged();
    sendAppendResponse(peer, lastLeaderSentMs, true, followerLog.matchIndex());
  }

  private void sendAppendResponse(InstanceId peer, long sentMs, boolean matched, long index) {
    context
        .peers()
        .send(
            peer,
            new PeerMessage.AppendResponse(
                context.group(),
                context.self().incarnation(),
                voteState.term(),
                sentMs,
                matched,
                index));
  }

  private void receiveAppendResponse(
      InstanceId peer, PeerMessage.AppendResponse response, long nowMs) {
    if (isLeaderOfTerm(response.term(), nowMs)) {
      leadership.receive(new Member(peer, response.incarnation()), response, nowMs);
    }
  }

  private void receiveSnapshotProgress(
      InstanceId peer, PeerMessage.SnapshotProgress progress, long nowMs) {
    if (isLeaderOfTerm(progress.term(), nowMs)) {
      leadership.receive(new Member(peer, progress.incarnation()), progress, nowMs);
    }
  }

  private boolean isLeaderOfTerm(long term, long nowMs) {
    enterTerm(term, nowMs);
    return role == Role.LEADER && term == voteState.term();
  }

  private void receiveVoteRequest(InstanceId peer, PeerMessage.VoteRequest request, long nowMs) {
    boolean votesWithheld = lease.withholdsVotes(nowMs);
    if (!votesWithheld && !request.preVote()) {
      enterTerm(request.term(), nowMs);
    }
    if (voter.respond(peer, request, votesWithheld || role == Role.LEADER)) {
      election.reset(nowMs);
    }
  }

  private void receiveVoteResponse(InstanceId peer, PeerMessage.VoteResponse response, long nowMs) {
    enterTerm(response.term(), nowMs);
    if (election.isCurrentGrant(response, voteState.term())) {
      election.addVote(new Member(peer, response.incarnation()));
      countVotes(nowMs);
    }
  }

  /**
   * Enters a later term as a follower; does nothing if the term is not later than the current one.
   */
  private void enterTerm(long term, long nowMs) {
    if (term <= voteState.term()) {
      return;
    }
    voteState.enter(term);
    stepDown(nowMs);
  }

  private void stepDown(long nowMs) {
    if (role == Role.LEADER) {
      logRole("agreement.step_down");
      leadership.save();
    }
    role = Role.FOLLOWER;
    leader = Optional.empty();
    lease.end();
    election.reset(nowMs);
    applier.abandonProposals();
  }

  private void campaign(long nowMs) {
    election.reset(nowMs);
    leader = Optional.empty();
    role = Role.FOLLOWER;
    boolean member =
        log.members().newest().contains(context.self())
            || quorum().previous().filter(list -> list.contains(context.self())).isPresent();
    if (!member || lease.withholdsVotes(nowMs)) {
      return;
    }
    role = Role.CANDIDATE;
    election.enter(Election.Phase.PRE_VOTE);
    election.addVote(context.self());
    election.requestVotes(voteState.term() + 1, leadership.votingMembers());
    countVotes(nowMs);
  }

  private void countVotes(long nowMs) {
    if (!election.won(quorum())) {
      return;
    }
    if (election.phase() == Election.Phase.PRE_VOTE) {
      voteState.enterAsCandidate(context.self());
      election.enter(Election.Phase.SAVING_VOTE);
      return;
    }
    role = Role.LEADER;
    leader = Optional.of(context.self().instance());
    election.reset(nowMs);
    logRole("agreement.lead");
    leadership.start(voteState.term(), nowMs);
  }

  private void tickLeader(long nowMs) {
    leadership.tick(nowMs);
    if (leadership.hasLostQuorum(nowMs)) {
      stepDown(nowMs);
    }
  }

  private Quorum quorum() {
    Set<Member> lostMembers = leadership.lostMembers();
    return log.members().quorum(applier.commitIndex(), lostMembers);
  }

  /**
   * Bootstraps the group if possible, and probes slots for their incarnation. A leader probes only
   * the slots that do not respond to it. Any other replica that stores entries does not probe while
   * it withholds its votes, because the leader that it may have heard from does.
   */
  private void probe(long nowMs) {
    if (groupBootstrap.tryBootstrap()) {
      reports.updateMembers(log.members().newest());
      election.reset(nowMs);
    }
    if (role != Role.LEADER && lease.withholdsVotes(nowMs) && !log.isBlank()) {
      return;
    }
    for (InstanceId slot : context.settings().otherSlots()) {
      if (role != Role.LEADER || leadership.isUnresponsive(slot, nowMs)) {
        reports.probe(slot);
      }
    }
  }

  /**
   * Adds the reported members to the known slots. Only a replica that the leader hears from can
   * become a member, and the leader may be none of the contacts in the settings.
   */
  private void receiveReport(InstanceId peer, PeerMessage.Report report) {
    if (!reports.receive(peer, report)) {
      return;
    }
    for (Member member : report.members()) {
      context.settings().accept(member.instance());
    }
  }

  private PeerMessage report(PeerMessage.Probe probe) {
    return new PeerMessage.Report(
        context.group(),
        context.self().incarnation(),
        probe.nonce(),
        log.isBlank(),
        log.members().newest());
  }

  private void logRole(String event) {
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of(event)
            .with("group", context.group())
            .with("instance", context.self().instance())
            .with("term", voteState.term())
            .toString());
  }
}
