package dev.caroblb.agreement;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.PeerEnvelope;
import java.util.Optional;

/** Decides on vote requests from other replicas. */
final class Voter {
  private final GroupContext context;
  private final ReplicatedLog log;
  private final GroupJournal journal;
  private final VoteState voteState;
  private Optional<PeerEnvelope<PeerMessage.VoteResponse>> pendingGrant = Optional.empty();

  Voter(GroupContext context, ReplicatedLog log, GroupJournal journal, VoteState voteState) {
    this.context = context;
    this.log = log;
    this.journal = journal;
    this.voteState = voteState;
  }

  /**
   * Responds to a vote request. The caller has already entered its term, unless votes are withheld
   * or it is a pre-vote.
   *
   * @param votesWithheld whether this replica leads or has recently heard from a leader
   * @return whether the vote was granted
   */
  boolean respond(InstanceId peer, PeerMessage.VoteRequest request, boolean votesWithheld) {
    Member candidate = new Member(peer, request.incarnation());
    if (request.preVote()) {
      boolean wouldGrant = !votesWithheld && request.term() > voteState.term() && upToDate(request);
      context.peers().send(peer, response(request, wouldGrant));
      return false;
    }
    boolean granted =
        !votesWithheld
            && request.term() == voteState.term()
            && voteState.mayVoteFor(candidate)
            && upToDate(request);
    if (!granted) {
      context.peers().send(peer, response(request, false));
      return false;
    }
    voteState.vote(candidate);
    pendingGrant = Optional.of(new PeerEnvelope<>(peer, response(request, true)));
    if (journal.voteSynced()) {
      sendPendingGrant();
    }
    return true;
  }

  /** Sends the granted vote; called once it is on disk. */
  void sendPendingGrant() {
    if (pendingGrant.isEmpty()) {
      return;
    }
    PeerEnvelope<PeerMessage.VoteResponse> grant = pendingGrant.get();
    pendingGrant = Optional.empty();
    if (grant.message().requestTerm() == voteState.term()) {
      context.peers().send(grant.peer(), grant.message());
    }
  }

  /** Whether the candidate's log contains every entry of this log that may be committed. */
  private boolean upToDate(PeerMessage.VoteRequest request) {
    if (request.lastTerm() != log.lastTerm()) {
      return request.lastTerm() > log.lastTerm();
    }
    return request.lastIndex() >= log.lastIndex();
  }

  private PeerMessage.VoteResponse response(PeerMessage.VoteRequest request, boolean granted) {
    return new PeerMessage.VoteResponse(
        context.group(),
        context.self().incarnation(),
        voteState.term(),
        request.term(),
        request.preVote(),
        granted);
  }
}
