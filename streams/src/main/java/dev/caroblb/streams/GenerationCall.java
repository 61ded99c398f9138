package dev.caroblb.streams;

import dev.caroblb.core.GenerationId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Payload;
import dev.caroblb.core.Refusal;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.RetryReason;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A call to a model engine. All delivered tokens come from one generation: after a lost link the
 * same generation is resumed, and a new one is started only while no token was delivered.
 */
final class GenerationCall implements RunningCall {
  private static final long PROGRESS_MS = 100;

  private final GenerationOrigin origin;
  private final StreamScope scope;
  private final CallerBuffer caller;
  private final TokenSequence sequence;
  private final ResumeBudget resumes = new ResumeBudget();
  private final List<Payload> collected = new ArrayList<>();

  private long link;
  private boolean batchUnacknowledged;
  private boolean resumed;
  private boolean engineDone;
  private boolean finished;
  private long lastEngineMs;
  private long lastTokenMs;
  private long lastProgressMs;
  private Optional<Long> abandonedAtMs = Optional.empty();

  GenerationCall(
      GenerationOrigin origin, Outlet<CallerEvent> caller, StreamScope scope, long nowMs) {
    this.origin = origin;
    this.scope = scope;
    this.caller = new CallerBuffer(caller, nowMs);
    this.sequence = new TokenSequence(origin.afterSequence());
    this.lastEngineMs = nowMs;
    this.lastTokenMs = nowMs;
  }

  @Override
  public long id() {
    return origin.id();
  }

  GenerationId generation() {
    return origin.generation();
  }

  @Override
  public void start(long nowMs) {
    if (origin.call().isEmpty()) {
      resumeLink(nowMs);
      return;
    }
    link = scope.links().open(this);
    scope.send(
        new EngineCommand.Generate(
            link,
            origin.endpoint(),
            origin.generation(),
            origin.enginePriority(),
            origin.call().get()));
  }

  @Override
  public void onEngineEvents(long fromLink, List<EngineEvent> events, long nowMs) {
    if (fromLink != link || finished) {
      return;
    }
    lastEngineMs = nowMs;
    for (EngineEvent event : events) {
      if (!onEngineEvent(event, nowMs)) {
        break;
      }
    }
    if (finished) {
      return;
    }
    batchUnacknowledged = fromLink == link;
    reportProgress(nowMs);
    deliver(nowMs);
  }

  private void reportProgress(long nowMs) {
    if (origin.call().isEmpty() || nowMs - lastProgressMs < PROGRESS_MS) {
      return;
    }
    lastProgressMs = nowMs;
    scope.progress(origin.id(), sequence.last());
  }

  /** Processes one event; false when the link was closed and the rest is ignored. */
  private boolean onEngineEvent(EngineEvent event, long nowMs) {
    if (event instanceof EngineEvent.Token token) {
      return onToken(token, nowMs);
    }
    if (event instanceof EngineEvent.Done) {
      onDone(nowMs);
      return false;
    }
    if (event instanceof EngineEvent.Rejected rejected) {
      onRejected(rejected, nowMs);
      return false;
    }
    if (event instanceof EngineEvent.Failed failed) {
      onFailed(failed, nowMs);
      return false;
    }
    return true;
  }

  private boolean onToken(EngineEvent.Token token, long nowMs) {
    switch (sequence.accept(token.sequence())) {
      case DELIVER -> acceptToken(token, nowMs);
      case DUPLICATE -> {}
      case GAP -> {
        resumeOrInterrupt(RetryReason.RESUME_AFTER_GAP, RefusalReason.TARGET_LOST, nowMs);
        return false;
      }
    }
    return true;
  }

  private void acceptToken(EngineEvent.Token token, long nowMs) {
    if (sequence.last() == origin.afterSequence() + 1) {
      scope.observer().firstToken(nowMs - lastTokenMs);
    } else {
      scope.observer().nextToken(nowMs - lastTokenMs);
    }
    lastTokenMs = nowMs;
    if (origin.streams()) {
      caller.add(new CallerEvent.Token(origin.generation(), token.sequence(), token.data()), nowMs);
    } else {
      collected.add(token.data());
    }
  }

  private void onDone(long nowMs) {
    engineDone = true;
    caller.add(
        origin.streams()
            ? new CallerEvent.Completed(origin.generation(), sequence.last())
            : new CallerEvent.Whole(origin.generation(), collected),
        nowMs);
    closeLink();
    scope.report(outcome(Optional.empty(), false));
  }

  private void onRejected(EngineEvent.Rejected rejected, long nowMs) {
    closeLink();
    if (abandonedAtMs.isPresent()) {
      endWithoutCaller();
      return;
    }
    if (origin.call().isPresent() && nothingDelivered() && !mayHaveRun()) {
      handBack(RefusalReason.TARGET_REFUSED, rejected.message());
      return;
    }
    if (nothingDelivered() && origin.repeatable()) {
      cancel();
      handBack(RefusalReason.CONNECTION_LOST, rejected.message());
      return;
    }
    interrupt(
        Refusal.of(
            rejectedResumeReason(),
            "the engine refused to resume generation "
                + origin.generation()
                + " with status "
                + rejected.status()),
        nowMs);
  }

  /** Never a "not run" reason: a refused resume does not prove that the generation did not run. */
  private RefusalReason rejectedResumeReason() {
    if (!nothingDelivered()) {
      return RefusalReason.TARGET_LOST;
    }
    return origin.call().isEmpty()
        ? RefusalReason.UNKNOWN_GENERATION
        : RefusalReason.CONNECTION_LOST;
  }

  private void onFailed(EngineEvent.Failed failed, long nowMs) {
    if (abandonedAtMs.isPresent()) {
      // The caller may have resumed at another entry instance, whose link replaced this one.
      closeLink();
      endWithoutCaller();
      return;
    }
    if (origin.call().isPresent() && nothingDelivered()) {
      failedBeforeFirstToken(failed, nowMs);
      return;
    }
    resumeOrInterrupt(RetryReason.RESUME_AFTER_LOSS, RefusalReason.TARGET_LOST, nowMs);
  }

  private void failedBeforeFirstToken(EngineEvent.Failed failed, long nowMs) {
    if (!failed.written() && !mayHaveRun()) {
      closeLink();
      handBack(RefusalReason.TARGET_UNREACHABLE, failed.cause());
      return;
    }
    if (origin.repeatable()) {
      closeLink();
      cancel();
      handBack(RefusalReason.CONNECTION_LOST, failed.cause());
      return;
    }
    resumeOrInterrupt(RetryReason.RESUME_AFTER_LOSS, RefusalReason.CONNECTION_LOST, nowMs);
  }

  /** Returns a call without delivered tokens to admission, which retries or refuses it. */
  private void handBack(RefusalReason reason, String cause) {
    scope.log("call.handed_back", origin.id(), origin.endpoint(), reason, cause);
    finished = true;
    scope.report(outcome(Optional.of(reason), true));
  }

  private void cancel() {
    scope.send(new EngineCommand.Cancel(origin.endpoint(), origin.generation()));
  }

  private boolean mayHaveRun() {
    return resumed || sequence.last() > origin.afterSequence();
  }

  private boolean nothingDelivered() {
    return !origin.streams() || sequence.last() == origin.afterSequence();
  }

  private void resumeOrInterrupt(RetryReason retry, RefusalReason reason, long nowMs) {
    closeLink();
    if (!resumes.tryAcquire(nowMs)) {
      cancel();
      interrupt(
          Refusal.of(reason, "generation " + origin.generation() + " could not be resumed"), nowMs);
      return;
    }
    scope.observer().retried(retry);
    resumeLink(nowMs);
  }

  private void resumeLink(long nowMs) {
    resumed = true;
    lastEngineMs = nowMs;
    link = scope.links().open(this);
    scope.send(
        new EngineCommand.Resume(
            link, origin.endpoint(), origin.generation(), origin.workspace(), sequence.last()));
  }

  private void interrupt(Refusal refusal, long nowMs) {
    interruptAfter(sequence.last(), refusal, nowMs);
  }

  private void interruptAfter(long lastSequence, Refusal refusal, long nowMs) {
    closeLink();
    engineDone = true;
    scope.log(
        "call.interrupted", origin.id(), origin.endpoint(), refusal.reason(), refusal.message());
    caller.add(
        origin.streams() && lastSequence > origin.afterSequence()
            ? new CallerEvent.Interrupted(origin.generation(), lastSequence, refusal)
            : new CallerEvent.Refused(refusal),
        nowMs);
    scope.report(outcome(Optional.of(refusal.reason()), false));
    deliver(nowMs);
  }

  private CallOutcome outcome(Optional<RefusalReason> refusal, boolean retry) {
    return new CallOutcome(
        origin.call(), origin.endpoint(), sequence.last() - origin.afterSequence(), refusal, retry);
  }

  private void deliver(long nowMs) {
    if (!caller.flush(nowMs)) {
      return;
    }
    if (engineDone) {
      finished = true;
      return;
    }
    if (batchUnacknowledged) {
      batchUnacknowledged = false;
      scope.send(new EngineCommand.Consumed(link));
    }
  }

  private void closeLink() {
    if (link == 0) {
      return;
    }
    scope.links().close(link);
    scope.send(new EngineCommand.Close(link));
    link = 0;
    batchUnacknowledged = false;
  }

  @Override
  public void onCallerReady(long nowMs) {
    deliver(nowMs);
  }

  @Override
  public void onCallerGone(long nowMs) {
    caller.detach();
    if (engineDone) {
      finished = true;
      return;
    }
    abandonedAtMs = Optional.of(nowMs);
  }

  /** Ends this call but not the generation, because the caller resumed it. */
  void supersede(long nowMs) {
    if (engineDone) {
      return;
    }
    if (abandonedAtMs.isPresent()) {
      closeLink();
      endWithoutCaller();
      return;
    }
    interrupt(Refusal.of(RefusalReason.CALLER_STALLED, "the caller resumed the generation"), nowMs);
  }

  /** Ends a call whose caller disconnected; no final event is sent. */
  private void endWithoutCaller() {
    scope.report(outcome(Optional.of(RefusalReason.CALLER_STALLED), false));
    finished = true;
  }

  @Override
  public void onTick(long nowMs) {
    if (engineDone) {
      endStalledCaller(nowMs);
      return;
    }
    if (abandonedAtMs.isPresent()) {
      endAbandoned(nowMs);
      return;
    }
    if (nowMs >= origin.deadlineMs()) {
      cancel();
      interrupt(Refusal.of(RefusalReason.DEADLINE_AFTER_START, "the deadline passed"), nowMs);
      return;
    }
    if (caller.stallMs(nowMs) >= scope.limits().callerStallMs()) {
      cancel();
      long lastTaken = sequence.last() - caller.dropTokens();
      interruptAfter(
          lastTaken, Refusal.of(RefusalReason.CALLER_STALLED, "the caller stopped reading"), nowMs);
      return;
    }
    if (!batchUnacknowledged && nowMs - lastEngineMs >= scope.limits().engineStallMs()) {
      resumeOrInterrupt(RetryReason.RESUME_AFTER_STALL, RefusalReason.TARGET_STALLED, nowMs);
      return;
    }
    deliver(nowMs);
  }

  private void endStalledCaller(long nowMs) {
    if (caller.stallMs(nowMs) >= scope.limits().callerStallMs()) {
      finished = true;
      return;
    }
    deliver(nowMs);
  }

  private void endAbandoned(long nowMs) {
    if (nowMs - abandonedAtMs.orElseThrow() < scope.limits().abandonMs()) {
      return;
    }
    closeLink();
    cancel();
    endWithoutCaller();
  }

  @Override
  public void onStop(long nowMs) {
    if (engineDone) {
      return;
    }
    interrupt(Refusal.of(RefusalReason.STOPPING, "the entry instance is stopping"), nowMs);
  }

  @Override
  public boolean finished() {
    return finished;
  }
}
