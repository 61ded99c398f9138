package dev.caroblb.streams;

import dev.caroblb.core.CallRequest;
import dev.caroblb.core.GenerationId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Payload;
import dev.caroblb.core.Refusal;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.RetryReason;
import dev.caroblb.core.WorkspaceId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A call that a model engine answers. All tokens come from one generation; a lost link is replaced
 * by a resume of the same generation, never by another generation once a token was delivered.
 */
final class GenerationCall implements RunningCall {
  private static final long PROGRESS_MS = 100;

  private final long id;
  private final Optional<CallRequest> call;
  private final WorkspaceId workspace;
  private final Endpoint endpoint;
  private final GenerationId generation;
  private final int enginePriority;
  private final long deadlineMs;
  private final StreamScope scope;
  private final CallerBuffer caller;
  private final TokenSequence sequence;
  private final ResumeBudget resumes = new ResumeBudget();
  private final List<Payload> collected = new ArrayList<>();
  private final boolean streams;
  private final long firstSequence;

  private long link;
  private boolean batchHeld;
  private boolean engineDone;
  private boolean finished;
  private long lastEngineMs;
  private long lastTokenMs;
  private long lastProgressMs;
  private Optional<Long> abandonedAtMs = Optional.empty();

  /** A new generation for a call. */
  GenerationCall(
      StreamsMessage.Start start, GenerationId generation, StreamScope scope, long nowMs) {
    this(
        start.call().id(),
        Optional.of(start.call()),
        start.call().workspace(),
        start.endpoint(),
        generation,
        start.enginePriority(),
        0,
        start.call().deadlineMs(),
        start.caller(),
        scope,
        nowMs);
  }

  /** A generation that the caller continues after a lost connection. */
  GenerationCall(StreamsMessage.ResumeRequested resume, StreamScope scope, long nowMs) {
    this(
        resume.id(),
        Optional.empty(),
        resume.workspace(),
        resume.endpoint(),
        resume.generation(),
        0,
        resume.afterSequence(),
        resume.deadlineMs(),
        resume.caller(),
        scope,
        nowMs);
  }

  private GenerationCall(
      long id,
      Optional<CallRequest> call,
      WorkspaceId workspace,
      Endpoint endpoint,
      GenerationId generation,
      int enginePriority,
      long afterSequence,
      long deadlineMs,
      Outlet<CallerEvent> caller,
      StreamScope scope,
      long nowMs) {
    this.id = id;
    this.call = call;
    this.workspace = workspace;
    this.endpoint = endpoint;
    this.generation = generation;
    this.enginePriority = enginePriority;
    this.firstSequence = afterSequence;
    this.deadlineMs = deadlineMs;
    this.scope = scope;
    this.caller = new CallerBuffer(caller, nowMs);
    this.sequence = new TokenSequence(afterSequence);
    this.streams = call.map(c -> c.policy().streams()).orElse(true);
    this.lastEngineMs = nowMs;
    this.lastTokenMs = nowMs;
  }

  @Override
  public long id() {
    return id;
  }

  GenerationId generation() {
    return generation;
  }

  @Override
  public void start(long nowMs) {
    if (call.isEmpty()) {
      resumeLink(nowMs);
      return;
    }
    link = scope.links().open(this);
    scope.send(new EngineCommand.Generate(link, endpoint, generation, enginePriority, call.get()));
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
    batchHeld = fromLink == link;
    reportProgress(nowMs);
    deliver(nowMs);
  }

  private void reportProgress(long nowMs) {
    if (call.isEmpty() || nowMs - lastProgressMs < PROGRESS_MS) {
      return;
    }
    lastProgressMs = nowMs;
    scope.progress(id, sequence.last());
  }

  /** Processes one event; false when the rest of the batch belongs to a link that was given up. */
  private boolean onEngineEvent(EngineEvent event, long nowMs) {
    if (event instanceof EngineEvent.Token token) {
      return onToken(token, nowMs);
    }
    if (event instanceof EngineEvent.Done) {
      onDone();
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
    if (sequence.last() == firstSequence + 1) {
      scope.observer().firstToken(nowMs - lastTokenMs);
    } else {
      scope.observer().nextToken(nowMs - lastTokenMs);
    }
    lastTokenMs = nowMs;
    if (streams) {
      caller.add(new CallerEvent.Token(generation, token.sequence(), token.data()));
    } else {
      collected.add(token.data());
    }
  }

  private void onDone() {
    engineDone = true;
    caller.add(
        streams
            ? new CallerEvent.Completed(generation, sequence.last())
            : new CallerEvent.Whole(generation, collected));
    closeLink();
    scope.report(outcome(Optional.empty(), false));
  }

  private void onRejected(EngineEvent.Rejected rejected, long nowMs) {
    closeLink();
    if (call.isPresent() && nothingDelivered()) {
      handBack(RefusalReason.TARGET_REFUSED, rejected.message());
      return;
    }
    interrupt(
        Refusal.of(
            call.isEmpty() && nothingDelivered()
                ? RefusalReason.UNKNOWN_GENERATION
                : RefusalReason.TARGET_LOST,
            "the engine refused to resume generation "
                + generation
                + " with status "
                + rejected.status()),
        nowMs);
  }

  private void onFailed(EngineEvent.Failed failed, long nowMs) {
    if (abandonedAtMs.isPresent()) {
      // Another link to the same generation replaces this one when the caller resumed elsewhere.
      supersede();
      return;
    }
    if (call.isPresent() && nothingDelivered()) {
      failedBeforeFirstToken(failed, nowMs);
      return;
    }
    resumeOrInterrupt(RetryReason.RESUME_AFTER_LOSS, RefusalReason.TARGET_LOST, nowMs);
  }

  private void failedBeforeFirstToken(EngineEvent.Failed failed, long nowMs) {
    if (!failed.written()) {
      closeLink();
      handBack(RefusalReason.TARGET_UNREACHABLE, failed.cause());
      return;
    }
    if (call.orElseThrow().policy().repeatable()) {
      closeLink();
      scope.send(new EngineCommand.Cancel(endpoint, generation));
      handBack(RefusalReason.CONNECTION_LOST, failed.cause());
      return;
    }
    resumeOrInterrupt(RetryReason.RESUME_AFTER_LOSS, RefusalReason.CONNECTION_LOST, nowMs);
  }

  /** Lets admission place the call again or refuse it; nothing was delivered. */
  private void handBack(RefusalReason reason, String cause) {
    scope.log("call.handed_back", id, endpoint, reason, cause);
    finished = true;
    scope.report(outcome(Optional.of(reason), true));
  }

  private boolean nothingDelivered() {
    return !streams || sequence.last() == firstSequence;
  }

  private void resumeOrInterrupt(RetryReason retry, RefusalReason reason, long nowMs) {
    closeLink();
    if (!resumes.take(nowMs)) {
      scope.send(new EngineCommand.Cancel(endpoint, generation));
      interrupt(Refusal.of(reason, "generation " + generation + " could not be resumed"), nowMs);
      return;
    }
    scope.observer().retried(retry);
    resumeLink(nowMs);
  }

  private void resumeLink(long nowMs) {
    lastEngineMs = nowMs;
    link = scope.links().open(this);
    scope.send(new EngineCommand.Resume(link, endpoint, generation, workspace, sequence.last()));
  }

  private void interrupt(Refusal refusal, long nowMs) {
    closeLink();
    engineDone = true;
    scope.log("call.interrupted", id, endpoint, refusal.reason(), refusal.message());
    caller.add(
        streams && sequence.last() > firstSequence
            ? new CallerEvent.Interrupted(generation, sequence.last(), refusal)
            : new CallerEvent.Refused(refusal));
    scope.report(outcome(Optional.of(refusal.reason()), false));
    deliver(nowMs);
  }

  private CallOutcome outcome(Optional<RefusalReason> refusal, boolean retry) {
    return new CallOutcome(call, endpoint, sequence.last() - firstSequence, refusal, retry);
  }

  private void deliver(long nowMs) {
    if (!caller.flush(nowMs)) {
      return;
    }
    if (engineDone) {
      finished = true;
      return;
    }
    if (batchHeld) {
      batchHeld = false;
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
    batchHeld = false;
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

  /** Ends this call without touching the generation, because the caller resumed it. */
  void supersede() {
    closeLink();
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
    if (nowMs >= deadlineMs) {
      scope.send(new EngineCommand.Cancel(endpoint, generation));
      interrupt(Refusal.of(RefusalReason.DEADLINE_AFTER_START, "the deadline passed"), nowMs);
      return;
    }
    if (caller.stalledMs(nowMs) >= scope.limits().callerStallMs()) {
      scope.send(new EngineCommand.Cancel(endpoint, generation));
      caller.dropWaiting();
      interrupt(Refusal.of(RefusalReason.CALLER_STALLED, "the caller read nothing"), nowMs);
      return;
    }
    if (!batchHeld && nowMs - lastEngineMs >= scope.limits().engineStallMs()) {
      resumeOrInterrupt(RetryReason.RESUME_AFTER_STALL, RefusalReason.TARGET_STALLED, nowMs);
      return;
    }
    deliver(nowMs);
  }

  private void endStalledCaller(long nowMs) {
    if (caller.stalledMs(nowMs) >= scope.limits().callerStallMs()) {
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
    scope.send(new EngineCommand.Cancel(endpoint, generation));
    scope.report(outcome(Optional.of(RefusalReason.CALLER_STALLED), false));
    finished = true;
  }

  @Override
  public void onStop(long nowMs) {
    interrupt(Refusal.of(RefusalReason.STOPPING, "the entry instance stops"), nowMs);
  }

  @Override
  public boolean finished() {
    return finished;
  }
}
