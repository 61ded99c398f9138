package dev.caroblb.agreement;

/**
 * Lease of a leader and its counterpart, the time in which a replica grants no vote. A replica
 * holds its votes back after a start as well, since it may have acknowledged a heartbeat just
 * before it stopped.
 */
final class LeaseKeeper {
  private long votesHeldUntilMs;
  private long validUntilMs;

  LeaseKeeper(long startMs) {
    this.votesHeldUntilMs = startMs + Timing.VOTE_HOLD_MS;
  }

  void heardFromLeader(long nowMs) {
    votesHeldUntilMs = Math.max(votesHeldUntilMs, nowMs + Timing.VOTE_HOLD_MS);
  }

  boolean holdsVotes(long nowMs) {
    return nowMs < votesHeldUntilMs;
  }

  /** Extends the lease of this leader; a quorum acknowledged what it sent at the given time. */
  void extend(long acknowledgedSentMs) {
    validUntilMs = Math.max(validUntilMs, acknowledgedSentMs + Timing.LEASE_MS);
    votesHeldUntilMs = Math.max(votesHeldUntilMs, validUntilMs);
  }

  /** Ends the lease; the votes stay held back until it would have expired. */
  void end() {
    validUntilMs = 0;
  }

  long validUntilMs() {
    return validUntilMs;
  }
}
