package dev.caroblb.agreement;

/** Times and sizes of the consensus protocol. */
final class Timing {
  static final long HEARTBEAT_MS = 150;

  /** A replica grants no vote for this time after it heard from a leader. */
  static final long VOTE_HOLD_MS = 1_000;

  /** Largest difference between the rates of two clocks, in percent. */
  static final long CLOCK_RATE_ERROR_PERCENT = 1;

  /** A reading of a millisecond clock is up to 1 ms old; a lease compares two pairs of readings. */
  static final long CLOCK_READING_ERROR_MS = 2;

  /** Lease of a leader, counted from the time it sent what a quorum acknowledged. */
  static final long LEASE_MS =
      VOTE_HOLD_MS * (100 - CLOCK_RATE_ERROR_PERCENT) / 100 - CLOCK_READING_ERROR_MS;

  static final long ELECTION_MIN_MS = 1_200;
  static final long ELECTION_MAX_MS = 2_400;

  /** Pause between questions to slots whose incarnation is not known. */
  static final long PROBE_MS = 500;

  /** A replica that did not answer for this time counts as silent. */
  static final long SILENCE_MS = 1_000;

  /**
   * A member that did not answer for this time may be replaced by a new replica. A replaced machine
   * has to be made up for within four seconds of the start of its successor.
   */
  static final long MEMBER_SILENCE_MS = 2_000;

  /** A learner that did not answer for this time makes place for another one. */
  static final long LEARNER_SILENCE_MS = 5_000;

  /** Smallest extension of a lease that is announced; each heartbeat extends it by more. */
  static final long LEASE_STEP_MS = 100;

  /** A snapshot chunk without an answer is sent again after this time. */
  static final long CHUNK_RETRY_MS = 450;

  /** Pause before messages that a full ring refused are offered again. */
  static final long BACKLOG_RETRY_MS = 5;

  /** Time without a commit after which a state machine that asks for it gets a snapshot. */
  static final long IDLE_SNAPSHOT_MS = 1_000;

  static final long SNAPSHOT_ENTRIES = 1_000;
  static final long SNAPSHOT_BYTES = 4L << 20;

  /** Entries before a snapshot that stay in memory, so that a slow follower needs no snapshot. */
  static final int RETAINED_ENTRIES = 256;

  static final long RETAINED_BYTES = 1L << 20;

  /** Largest command; with the envelope it stays below the frame limit of 4 MiB. */
  static final int MAX_COMMAND_BYTES = 3 << 20;

  /** Size at which a message with entries is closed; one larger entry travels alone. */
  static final long MAX_BATCH_BYTES = 512L << 10;

  static final int MAX_BATCH_ENTRIES = 1_024;

  /** Bytes sent to one follower and not yet acknowledged. */
  static final long MAX_IN_FLIGHT_BYTES = 4L << 20;

  static final int CHUNK_BYTES = 512 << 10;

  /** Proposals of a leader that wait for their commit; further ones are not appended. */
  static final int MAX_PENDING_PROPOSALS = 8_192;

  static final long MAX_PENDING_BYTES = 8L << 20;

  private Timing() {}
}
