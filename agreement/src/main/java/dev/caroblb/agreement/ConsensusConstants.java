package dev.caroblb.agreement;

/** Timeouts and size limits of the consensus protocol. */
final class ConsensusConstants {
  static final long HEARTBEAT_INTERVAL_MS = 150;

  /** Time after its start or a message from a leader in which a replica grants no vote. */
  static final long VOTE_WITHHOLD_MS = 1_000;

  /** Largest assumed difference between the rates of two clocks, in percent. */
  static final long CLOCK_RATE_ERROR_PERCENT = 1;

  /**
   * Error of the two intervals that a lease compares, the leader's and the voter's. Each is off by
   * up to 1 ms, because a reading of a millisecond clock is up to 1 ms old.
   */
  static final long CLOCK_READING_ERROR_MS = 2;

  /** Duration of a leader's lease, from the time it sent the message that a quorum acknowledged. */
  static final long LEASE_MS =
      VOTE_WITHHOLD_MS * (100 - CLOCK_RATE_ERROR_PERCENT) / 100 - CLOCK_READING_ERROR_MS;

  static final long MIN_ELECTION_TIMEOUT_MS = 1_200;
  static final long MAX_ELECTION_TIMEOUT_MS = 2_400;

  /** Interval at which slots are probed for their incarnation. */
  static final long PROBE_INTERVAL_MS = 500;

  /** A replica that has not responded for this time counts as unresponsive. */
  static final long RESPONSE_TIMEOUT_MS = 1_000;

  /**
   * A member that has not responded for this time may be removed or replaced by a new replica.
   * Short enough that the successor of a replaced machine is a member within four seconds of its
   * start.
   */
  static final long MEMBER_TIMEOUT_MS = 2_000;

  /** A learner that has not responded for this time may be replaced by another one. */
  static final long LEARNER_TIMEOUT_MS = 5_000;

  /**
   * Smallest extension of a lease that is announced; each heartbeat extends it by more than this.
   */
  static final long MIN_LEASE_EXTENSION_MS = 100;

  /** A snapshot chunk without a response is sent again after this time. */
  static final long CHUNK_RETRY_MS = 450;

  /** Delay before messages that a full ring refused are offered again. */
  static final long REFUSED_RETRY_MS = 5;

  /** Time without a commit after which a snapshot is taken, for state machines that request it. */
  static final long IDLE_SNAPSHOT_DELAY_MS = 1_000;

  static final long SNAPSHOT_ENTRIES = 1_000;
  static final long SNAPSHOT_BYTES = 4L << 20;

  /**
   * Entries before a snapshot that are kept in memory, so that a slow follower needs no snapshot.
   */
  static final int RETAINED_ENTRIES = 256;

  static final long RETAINED_BYTES = 1L << 20;

  /** Largest command. With the message around it, it stays below the frame limit of 4 MiB. */
  static final int MAX_COMMAND_BYTES = 3 << 20;

  /** Size limit for the entries of one message; a larger entry is sent in a message of its own. */
  static final long MAX_BATCH_BYTES = 512L << 10;

  static final int MAX_BATCH_ENTRIES = 1_024;

  /** Limit on bytes sent to one follower and not yet acknowledged. */
  static final long MAX_IN_FLIGHT_BYTES = 4L << 20;

  static final int CHUNK_BYTES = 512 << 10;

  /** Limit on a leader's proposals that are not committed yet; further ones are refused. */
  static final int MAX_PENDING_PROPOSALS = 8_192;

  static final long MAX_PENDING_BYTES = 8L << 20;

  private ConsensusConstants() {}
}
