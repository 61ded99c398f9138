package dev.caroblb.idempotency;

import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import java.util.Optional;

/** One call of this entry that has an idempotency key. */
final class EntryCall {
  /** How far the call is. */
  enum Phase {
    RESERVING(KeyMessage.Step.RESERVE),
    /** Granted; the target may have received the call. */
    RUNNING(null),
    RECORDING(KeyMessage.Step.RECORD),
    RELEASING(KeyMessage.Step.RELEASE);

    private final KeyMessage.Step step;

    Phase(KeyMessage.Step step) {
      this.step = step;
    }

    /** The request that is sent again in this phase. */
    Optional<KeyMessage.Step> step() {
      return Optional.ofNullable(step);
    }
  }

  final CallKey key;
  final Attempt attempt;
  final GroupId group;
  Phase phase;

  /** Request of the current phase; built anew for a reservation because its wait shrinks. */
  private final Hash128 digest;

  private Optional<StoredOutcome> outcome = Optional.empty();

  /** Whether streams expect to be told about the end of the current phase. */
  boolean reported = true;

  /** Whether the leader said that another attempt runs the call. */
  boolean waiting;

  /** End of the current phase. */
  long endsAtMs;

  long nextSendMs;
  InstanceId asked;
  int redirects;

  EntryCall(CallKey key, Attempt attempt, GroupId group, Hash128 digest, Phase phase) {
    this.key = key;
    this.attempt = attempt;
    this.group = group;
    this.digest = digest;
    this.phase = phase;
  }

  void enter(Phase next, long nowMs, long endsAt) {
    phase = next;
    endsAtMs = endsAt;
    nextSendMs = nowMs;
    waiting = false;
  }

  void finish(StoredOutcome stored) {
    outcome = Optional.of(stored);
  }

  /** The request to send now; empty while nothing is asked. */
  Optional<KeyMessage.Request> request(long nowMs) {
    return switch (phase) {
      case RESERVING ->
          Optional.of(new KeyMessage.Reserve(key, attempt, digest, Math.max(0, endsAtMs - nowMs)));
      case RECORDING -> outcome.map(o -> new KeyMessage.RecordOutcome(key, attempt, o));
      case RELEASING -> Optional.of(new KeyMessage.Release(key, attempt));
      case RUNNING -> Optional.empty();
    };
  }
}
