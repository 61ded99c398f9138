package dev.caroblb.streams;

import dev.caroblb.core.CallRequest;
import dev.caroblb.core.Payload;
import dev.caroblb.core.Refusal;
import dev.caroblb.core.RefusalReason;
import java.util.List;
import java.util.Optional;

/**
 * A call of a plain service. With an idempotency key, nothing is sent before the reservation is
 * durable, and "not run" is answered only after the reservation was released.
 */
final class ServiceCall implements RunningCall {
  private enum State {
    RESERVING,
    SENT,
    RELEASING,
    ANSWERED
  }

  /**
   * Minimum time to wait for the answer to a release. The idempotency duty ends an unanswered
   * reservation at the deadline; its answer then takes a tick and passes through a ring.
   */
  private static final long RELEASE_GRACE_MS = 1_000;

  private final CallRequest call;
  private final Endpoint endpoint;
  private final StreamScope scope;
  private final CallerBuffer caller;

  private State state = State.RESERVING;
  private long link;
  private Optional<Refusal> releaseRefusal = Optional.empty();
  private Optional<KeyCommand> unsentKeyCommand = Optional.empty();
  private long releaseEndsMs;
  private boolean reported;
  private boolean finished;

  ServiceCall(StreamsMessage.Start start, StreamScope scope, long nowMs) {
    this.call = start.call();
    this.endpoint = start.endpoint();
    this.scope = scope;
    this.caller = new CallerBuffer(start.caller(), nowMs);
  }

  @Override
  public long id() {
    return call.id();
  }

  @Override
  public void start(long nowMs) {
    if (call.idempotencyKey().isEmpty()) {
      sendCall();
      return;
    }
    if (!scope.send(new KeyCommand.Reserve(call))) {
      answer(new CallerEvent.Refused(Refusal.of(RefusalReason.KEY_UNAVAILABLE)), nowMs);
    }
  }

  private void sendCall() {
    state = State.SENT;
    link = scope.links().open(this);
    scope.send(
        new EngineCommand.CallService(
            link, endpoint, call.policy().call(), call.idempotencyKey().orElse(""), call.body()));
  }

  @Override
  public void onKeyGranted(long nowMs) {
    if (state != State.RESERVING) {
      return;
    }
    if (nowMs >= call.deadlineMs()) {
      release(Refusal.of(RefusalReason.DEADLINE_BEFORE_START, "the deadline passed"), nowMs);
      return;
    }
    sendCall();
  }

  @Override
  public void onKeyOutcome(int status, String contentType, Payload body, long nowMs) {
    if (keyUndecided()) {
      answer(new CallerEvent.Answer(status, contentType, body, true), nowMs);
    }
  }

  @Override
  public void onKeyRefused(Refusal refusal, long nowMs) {
    if (keyUndecided()) {
      answer(new CallerEvent.Refused(refusal), nowMs);
    }
  }

  /** Whether nothing was sent and the idempotency duty may still answer about the key. */
  private boolean keyUndecided() {
    return state == State.RESERVING || state == State.RELEASING;
  }

  @Override
  public void onKeyReleased(boolean committed, long nowMs) {
    if (state != State.RELEASING) {
      return;
    }
    Refusal refusal =
        committed
            ? releaseRefusal.orElseThrow()
            : Refusal.of(RefusalReason.CONNECTION_LOST, "the key could not be released");
    answer(new CallerEvent.Refused(refusal), nowMs);
  }

  @Override
  public void onEngineEvents(long fromLink, List<EngineEvent> events, long nowMs) {
    if (fromLink != link || state != State.SENT) {
      return;
    }
    for (EngineEvent event : events) {
      if (event instanceof EngineEvent.Answer answer) {
        onAnswer(answer, nowMs);
        return;
      }
      if (event instanceof EngineEvent.Rejected rejected) {
        onNotRun(RefusalReason.TARGET_REFUSED, rejected.message(), nowMs);
        return;
      }
      if (event instanceof EngineEvent.Failed failed) {
        onFailed(failed, nowMs);
        return;
      }
    }
    scope.send(new EngineCommand.Consumed(link));
  }

  private void onAnswer(EngineEvent.Answer answer, long nowMs) {
    closeLink();
    if (call.idempotencyKey().isPresent()) {
      sendKeyCommand(
          new KeyCommand.StoreOutcome(call, answer.status(), answer.contentType(), answer.body()));
    }
    report(Optional.empty(), false);
    answer(
        new CallerEvent.Answer(answer.status(), answer.contentType(), answer.body(), false), nowMs);
  }

  private void onFailed(EngineEvent.Failed failed, long nowMs) {
    if (!failed.written()) {
      onNotRun(RefusalReason.TARGET_UNREACHABLE, failed.cause(), nowMs);
      return;
    }
    closeLink();
    if (call.policy().repeatable() && call.idempotencyKey().isEmpty()) {
      handBack(RefusalReason.CONNECTION_LOST);
      return;
    }
    sendKeyCommand(new KeyCommand.OutcomeLost(call));
    refuse(Refusal.of(RefusalReason.CONNECTION_LOST, failed.cause()), nowMs);
  }

  private void onNotRun(RefusalReason reason, String cause, long nowMs) {
    closeLink();
    if (call.idempotencyKey().isEmpty()) {
      handBack(reason);
      return;
    }
    report(Optional.of(reason), false);
    release(Refusal.of(reason, cause), nowMs);
  }

  private void handBack(RefusalReason reason) {
    finished = true;
    report(Optional.of(reason), true);
  }

  private void release(Refusal refusal, long nowMs) {
    state = State.RELEASING;
    releaseEndsMs = Math.max(call.deadlineMs(), nowMs + RELEASE_GRACE_MS);
    releaseRefusal = Optional.of(refusal);
    sendKeyCommand(new KeyCommand.Release(call));
  }

  private void refuse(Refusal refusal, long nowMs) {
    scope.log("call.refused", id(), endpoint, refusal.reason(), refusal.message());
    report(Optional.of(refusal.reason()), false);
    answer(new CallerEvent.Refused(refusal), nowMs);
  }

  /** Reports the end of the attempt; later reports are ignored. */
  private void report(Optional<RefusalReason> reason, boolean retry) {
    if (reported) {
      return;
    }
    reported = true;
    scope.report(new CallOutcome(Optional.of(call), endpoint, 0, reason, retry));
  }

  private void sendKeyCommand(KeyCommand command) {
    unsentKeyCommand = scope.send(command) ? Optional.empty() : Optional.of(command);
  }

  private void answer(CallerEvent event, long nowMs) {
    state = State.ANSWERED;
    report(
        event instanceof CallerEvent.Refused refused
            ? Optional.of(refused.refusal().reason())
            : Optional.empty(),
        false);
    caller.add(event, nowMs);
    deliver(nowMs);
  }

  private void deliver(long nowMs) {
    boolean delivered = caller.flush(nowMs);
    finished = state == State.ANSWERED && delivered && unsentKeyCommand.isEmpty();
  }

  private void closeLink() {
    scope.links().close(link);
    scope.send(new EngineCommand.Close(link));
    link = 0;
  }

  @Override
  public void onCallerReady(long nowMs) {
    deliver(nowMs);
  }

  @Override
  public void onCallerGone(long nowMs) {
    // The call continues, so that its outcome is stored for a repeated request.
    caller.detach();
    deliver(nowMs);
  }

  @Override
  public void onTick(long nowMs) {
    unsentKeyCommand.ifPresent(this::sendKeyCommand);
    if (state == State.ANSWERED) {
      if (caller.stallMs(nowMs) >= scope.limits().callerStallMs()) {
        caller.detach();
      }
      deliver(nowMs);
      return;
    }
    if (nowMs >= (state == State.RELEASING ? releaseEndsMs : call.deadlineMs())) {
      endAtDeadline(nowMs);
    }
  }

  private void endAtDeadline(long nowMs) {
    if (state == State.RESERVING) {
      // An earlier run may hold the key, so "not run" has to wait for the release.
      release(Refusal.of(RefusalReason.DEADLINE_BEFORE_START, "the key was not reserved"), nowMs);
      return;
    }
    endWithUnknownOutcome("the deadline passed", nowMs);
  }

  private void endWithUnknownOutcome(String cause, long nowMs) {
    if (state == State.SENT) {
      closeLink();
      if (call.idempotencyKey().isPresent()) {
        sendKeyCommand(new KeyCommand.OutcomeLost(call));
      }
    } else if (state == State.RESERVING) {
      sendKeyCommand(new KeyCommand.Release(call));
    }
    refuse(Refusal.of(RefusalReason.DEADLINE_AFTER_START, cause), nowMs);
  }

  @Override
  public void onStop(long nowMs) {
    if (state != State.ANSWERED) {
      endWithUnknownOutcome("the entry instance is stopping", nowMs);
    }
  }

  @Override
  public boolean finished() {
    return finished;
  }
}
