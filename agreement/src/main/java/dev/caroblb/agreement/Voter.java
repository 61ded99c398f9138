package dev.caroblb.agreement;

import dev.caroblb.core.Addressed;
import dev.caroblb.core.InstanceId;
import java.util.Optional;

/** Decides on the votes that other replicas ask for. */
final class Voter {
  private final GroupContext context;
  private final ReplicatedLog log;
  private final GroupJournal journal;
  private final Ballot ballot;
  private Optional<Addressed<PeerMessage.VoteResponse>> unsent = Optional.empty();

  Voter(GroupContext context, ReplicatedLog log, GroupJournal journal, Ballot ballot) {
    this.context = context;
    this.log = log;
    this.journal = journal;
    this.ballot = ballot;
  }

  /**
   * Answers a request whose term was entered before, unless votes are held back.
   *
   * @param held whether this replica heard from a leader a short time ago
   * @return whether the vote was given
   */
  boolean answer(InstanceId peer, PeerMessage.VoteRequest request, boolean held) {
    Member candidate = new Member(peer, request.incarnation());
    if (request.preVote()) {
      boolean wouldGrant = !held && request.term() > ballot.term() && upToDate(request);
      context.peers().send(peer, response(request, wouldGrant));
      return false;
    }
    boolean granted =
        !held && request.term() == ballot.term() && ballot.free(candidate) && upToDate(request);
    if (!granted) {
      context.peers().send(peer, response(request, false));
      return false;
    }
    ballot.vote(candidate);
    unsent = Optional.of(new Addressed<>(peer, response(request, true)));
    if (journal.voteSynced()) {
      releaseGrant();
    }
    return true;
  }

  /** Sends a granted vote once it is on disk. */
  void releaseGrant() {
    if (unsent.isEmpty()) {
      return;
    }
    Addressed<PeerMessage.VoteResponse> grant = unsent.get();
    unsent = Optional.empty();
    if (grant.message().requestTerm() == ballot.term()) {
      context.peers().send(grant.peer(), grant.message());
    }
  }

  /** Whether the candidate's log contains everything that may be committed here. */
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
        ballot.term(),
        request.term(),
        request.preVote(),
        granted);
  }
}
