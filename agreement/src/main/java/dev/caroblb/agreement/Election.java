package dev.caroblb.agreement;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * State of this replica's own campaign. It starts with a pre-vote, so that a replica that was
 * disconnected does not enter a higher term and thereby depose a working leader.
 */
final class Election {
  /** Phase of the campaign. */
  enum Phase {
    IDLE,
    PRE_VOTE,
    /** The candidate's vote for itself is not on disk yet. */
    SAVING_VOTE,
    VOTE
  }

  private final GroupContext context;
  private final ReplicatedLog log;
  private final Set<Member> votes = new HashSet<>();
  private Phase phase = Phase.IDLE;
  private long deadlineMs;

  Election(GroupContext context, ReplicatedLog log, long nowMs) {
    this.context = context;
    this.log = log;
    reset(nowMs);
  }

  /** Ends the campaign and restarts the randomized election timeout. */
  void reset(long nowMs) {
    enter(Phase.IDLE);
    deadlineMs =
        nowMs
            + context
                .random()
                .nextLong(
                    ConsensusConstants.MIN_ELECTION_TIMEOUT_MS,
                    ConsensusConstants.MAX_ELECTION_TIMEOUT_MS + 1);
  }

  /** Enters a phase and discards the votes counted so far. */
  void enter(Phase next) {
    phase = next;
    votes.clear();
  }

  Phase phase() {
    return phase;
  }

  boolean due(long nowMs) {
    return nowMs >= deadlineMs;
  }

  long deadlineMs() {
    return deadlineMs;
  }

  /** Requests votes or, in the pre-vote phase, asks whether they would be granted. */
  void requestVotes(long term, Collection<Member> members) {
    PeerMessage request =
        new PeerMessage.VoteRequest(
            context.group(),
            context.self().incarnation(),
            term,
            phase == Phase.PRE_VOTE,
            log.lastIndex(),
            log.lastTerm());
    for (Member member : members) {
      if (!member.equals(context.self())) {
        context.peers().send(member.instance(), request);
      }
    }
  }

  /**
   * Whether a response grants a vote for the current phase of the campaign.
   *
   * @param term current term of this replica
   */
  boolean isCurrentGrant(PeerMessage.VoteResponse response, long term) {
    if (!response.granted()) {
      return false;
    }
    if (response.preVote()) {
      return phase == Phase.PRE_VOTE && response.requestTerm() == term + 1;
    }
    return phase == Phase.VOTE && response.requestTerm() == term;
  }

  void addVote(Member voter) {
    votes.add(voter);
  }

  boolean won(Quorum quorum) {
    return quorum.reached(votes::contains);
  }
}
