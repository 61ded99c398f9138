package dev.caroblb.idempotency;

import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import java.util.Optional;

/** State of one call with an idempotency key at the entry that received it. */
final class EntryCall {
  /** Progress of the call. */
  enum Phase {
    RESERVING(KeyMessage.Operation.RESERVE),
    /** The reservation is granted; the target may have received the call. */
    RUNNING(null),
    RECORDING(KeyMessage.Operation.RECORD),
    RELEASING(KeyMessage.Operation.RELEASE);

    private final KeyMessage.Operation operation;

    Phase(KeyMessage.Operation operation) {
      this.operation = operation;
    }

    /** The request that is sent, and resent until answered, in this phase. */
    Optional<KeyMessage.Operation> operation() {
      return Optional.ofNullable(operation);
    }
  }

  final CallKey key;
  final Attempt attempt;
  final GroupId group;
  Phase phase;

  /** Digest of the call, sent with each reservation request. */
  private final Hash128 digest;

  private Optional<StoredOutcome> outcome = Optional.empty();

  /** Whether the streams duty is notified when the release ends. */
  boolean notifyStreams = true;

  /** Whether the leader answered that another attempt holds the reservation. */
  boolean waiting;

  /** Time at which the current phase expires. */
  long phaseDeadlineMs;

  long nextSendMs;

  /** Replica to which the last request was sent. */
  InstanceId lastReplica;

  int redirects;

  EntryCall(CallKey key, Attempt attempt, GroupId group, Hash128 digest, Phase phase) {
    this.key = key;
    this.attempt = attempt;
    this.group = group;
    this.digest = digest;
    this.phase = phase;
  }

  void startPhase(Phase next, long nowMs, long deadlineMs) {
    phase = next;
    phaseDeadlineMs = deadlineMs;
    nextSendMs = nowMs;
    waiting = false;
  }

  void complete(StoredOutcome stored) {
    outcome = Optional.of(stored);
  }

  /**
   * The request of the current phase; empty while the call runs. A reservation request is built
   * anew for each send because its remaining wait time shrinks.
   */
  Optional<KeyMessage.Request> request(long nowMs) {
    return switch (phase) {
      case RESERVING ->
          Optional.of(
              new KeyMessage.Reserve(key, attempt, digest, Math.max(0, phaseDeadlineMs - nowMs)));
      case RECORDING -> outcome.map(o -> new KeyMessage.RecordOutcome(key, attempt, o));
      case RELEASING -> Optional.of(new KeyMessage.Release(key, attempt));
      case RUNNING -> Optional.empty();
    };
  }
}
