package dev.caroblb.agreement;

import java.util.Optional;

/**
 * Current term and the vote given in it. Each change is sent to the journal at once; votes and
 * acknowledgements that depend on it are sent only after it is synced.
 */
final class VoteState {
  private final GroupJournal journal;
  private long term;
  private Optional<Member> votedFor;

  VoteState(RecoveredGroup recovered, GroupJournal journal) {
    this.journal = journal;
    this.term = recovered.term();
    this.votedFor = recovered.votedFor();
  }

  long term() {
    return term;
  }

  /** Enters a later term without a vote. */
  void enter(long newTerm) {
    term = newTerm;
    votedFor = Optional.empty();
    journal.saveVote(term, votedFor);
  }

  /** Enters the next term with a vote for this replica itself. */
  void enterAsCandidate(Member self) {
    term++;
    votedFor = Optional.of(self);
    journal.saveVote(term, votedFor);
  }

  /** Whether this replica may still vote for the candidate in the current term. */
  boolean mayVoteFor(Member candidate) {
    return votedFor.isEmpty() || votedFor.get().equals(candidate);
  }

  void vote(Member candidate) {
    if (votedFor.isPresent()) {
      return;
    }
    votedFor = Optional.of(candidate);
    journal.saveVote(term, votedFor);
  }
}
