package dev.caroblb.agreement;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * Progress of this replica's own campaign. A pre-vote comes first, so that a replica that was cut
 * off does not disturb a leader with a higher term.
 */
final class Election {
  /** Stage of the campaign. */
  enum Phase {
    IDLE,
    PRE_VOTE,
    /** The vote for itself is not on disk yet. */
    SAVING_VOTE,
    VOTE
  }

  private final GroupContext context;
  private final ReplicatedLog log;
  private final Set<Member> granted = new HashSet<>();
  private Phase phase = Phase.IDLE;
  private long deadlineMs;

  Election(GroupContext context, ReplicatedLog log, long nowMs) {
    this.context = context;
    this.log = log;
    reset(nowMs);
  }

  /** Ends the campaign and waits a new random time for a leader. */
  void reset(long nowMs) {
    enter(Phase.IDLE);
    deadlineMs =
        nowMs + context.random().nextLong(Timing.ELECTION_MIN_MS, Timing.ELECTION_MAX_MS + 1);
  }

  /** Enters a phase without any vote. */
  void enter(Phase next) {
    phase = next;
    granted.clear();
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

  /** Asks the members for their votes in a term, or before that whether they would grant them. */
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

  /** Whether an answer belongs to the present phase of a campaign in the given term. */
  boolean counts(PeerMessage.VoteResponse response, long term) {
    if (!response.granted()) {
      return false;
    }
    if (response.preVote()) {
      return phase == Phase.PRE_VOTE && response.requestTerm() == term + 1;
    }
    return phase == Phase.VOTE && response.requestTerm() == term;
  }

  void grant(Member voter) {
    granted.add(voter);
  }

  boolean won(Quorum quorum) {
    return quorum.reached(granted::contains);
  }
}
