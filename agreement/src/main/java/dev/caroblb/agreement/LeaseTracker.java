package dev.caroblb.agreement;

/**
 * Tracks the lease of this replica as a leader, and the time in which it must withhold its votes
 * because a lease may still be valid. Votes are also withheld after a start, since the replica may
 * have acknowledged a heartbeat just before it stopped.
 */
final class LeaseTracker {
  private long votesWithheldUntilMs;
  private long validUntilMs;

  LeaseTracker(long startMs) {
    this.votesWithheldUntilMs = startMs + ConsensusConstants.VOTE_WITHHOLD_MS;
  }

  void heardFromLeader(long nowMs) {
    votesWithheldUntilMs =
        Math.max(votesWithheldUntilMs, nowMs + ConsensusConstants.VOTE_WITHHOLD_MS);
  }

  boolean withholdsVotes(long nowMs) {
    return nowMs < votesWithheldUntilMs;
  }

  /**
   * Extends the lease of this leader after a quorum acknowledged a message sent at the given time.
   */
  void extend(long acknowledgedSentMs) {
    validUntilMs = Math.max(validUntilMs, acknowledgedSentMs + ConsensusConstants.LEASE_MS);
    votesWithheldUntilMs = Math.max(votesWithheldUntilMs, validUntilMs);
  }

  /** Ends the lease. Votes are still withheld until it would have expired. */
  void end() {
    validUntilMs = 0;
  }

  long validUntilMs() {
    return validUntilMs;
  }
}
