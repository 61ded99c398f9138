package dev.caroblb.idempotency;

import dev.caroblb.core.InstanceId;
import java.util.Optional;

/** Messages between an entry instance and the leader of a key group. */
public sealed interface KeyMessage {
  Attempt attempt();

  /** What an entry asks for; every request may be sent again. */
  sealed interface Request extends KeyMessage {
    CallKey key();

    Step step();
  }

  /** What a leader, or an instance that does not lead, answers. */
  sealed interface Reply extends KeyMessage {}

  /** The three requests. */
  enum Step {
    RESERVE,
    RECORD,
    RELEASE
  }

  /**
   * Asks for the reservation of a key.
   *
   * @param digest digest of the call
   * @param waitMs time that is left until the deadline of the call; a duration because clocks of
   *     two instances cannot be compared
   */
  record Reserve(CallKey key, Attempt attempt, Hash128 digest, long waitMs) implements Request {
    @Override
    public Step step() {
      return Step.RESERVE;
    }
  }

  /** Asks to store the outcome. */
  record RecordOutcome(CallKey key, Attempt attempt, StoredOutcome outcome) implements Request {
    @Override
    public Step step() {
      return Step.RECORD;
    }
  }

  /** Asks to give up the reservation; sent only if nothing was written to a target. */
  record Release(CallKey key, Attempt attempt) implements Request {
    @Override
    public Step step() {
      return Step.RELEASE;
    }
  }

  /** Result of a committed command. */
  record Answer(Attempt attempt, Step step, KeyResult result) implements Reply {}

  /** The call is being run by another attempt; its outcome is sent when it arrives. */
  record Waiting(Attempt attempt) implements Reply {}

  /** The instance does not lead the group. */
  record Elsewhere(Attempt attempt, Step step, Optional<InstanceId> leader) implements Reply {}
}
