package dev.caroblb.idempotency;

import dev.caroblb.core.InstanceId;
import java.util.Optional;

/** Messages between an entry instance and the leader of a key group. */
public sealed interface KeyMessage {
  Attempt attempt();

  /** Request of an entry. Requests are idempotent and may be resent. */
  sealed interface Request extends KeyMessage {
    CallKey key();

    Operation operation();
  }

  /** Reply of the leader, or of an instance that is not the leader. */
  sealed interface Reply extends KeyMessage {}

  /** Type of a request. */
  enum Operation {
    RESERVE,
    RECORD,
    RELEASE
  }

  /**
   * Requests the reservation of a key.
   *
   * @param digest digest of the call
   * @param waitMs time left until the deadline of the call; a duration because the monotonic clocks
   *     of two instances are not comparable
   */
  record Reserve(CallKey key, Attempt attempt, Hash128 digest, long waitMs) implements Request {
    @Override
    public Operation operation() {
      return Operation.RESERVE;
    }
  }

  /** Requests that the outcome is stored. */
  record RecordOutcome(CallKey key, Attempt attempt, StoredOutcome outcome) implements Request {
    @Override
    public Operation operation() {
      return Operation.RECORD;
    }
  }

  /** Requests the release of the reservation; sent only if nothing was written to a target. */
  record Release(CallKey key, Attempt attempt) implements Request {
    @Override
    public Operation operation() {
      return Operation.RELEASE;
    }
  }

  /** Result of a committed command. */
  record Answer(Attempt attempt, Operation operation, KeyResult result) implements Reply {}

  /**
   * Another attempt holds the reservation; an answer follows when that attempt ends or the wait
   * time is over.
   */
  record Waiting(Attempt attempt) implements Reply {}

  /** The instance is not the leader of the group. The leader is empty if unknown. */
  record NotLeader(Attempt attempt, Operation operation, Optional<InstanceId> leader)
      implements Reply {}
}
