package dev.caroblb.forwarding;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.SoftwareVersion;
import dev.caroblb.core.TargetId;
import dev.caroblb.resumption.StreamOrigin;
import dev.caroblb.routing.Route;
import dev.caroblb.targets.PlacementNeed;
import dev.caroblb.targets.Target;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** State of one request from its arrival to its final response. */
final class Exchange {
  private final ForwardCall call;
  private final Route route;
  private String service;
  private final Optional<String> workspace;
  private final int priority;
  private final long arrivedMs;
  private final long deadlineMs;
  private final Set<TargetId> tried = new HashSet<>();
  private final EventFraming framing = new EventFraming();
  private final ResponseBuffer bufferedBody = new ResponseBuffer();
  private final CallerStream callerStream;
  private final StreamTiming timing = new StreamTiming();

  private int attempt;
  private int sends;
  private int possibleRuns;
  private int moveAttempts;
  private boolean continuesFromCopy;
  private long sentMs;
  private Optional<Long> firstSentMs = Optional.empty();
  private AttemptProgress progress = AttemptProgress.NONE;
  private long prefillTokens;
  private Optional<Target> target = Optional.empty();
  private Optional<PendingPlacement> pendingPlacement = Optional.empty();
  private Optional<ResponseHead> head = Optional.empty();
  private Optional<GenerationMove> move = Optional.empty();
  private Optional<Target> backup = Optional.empty();
  private Optional<SoftwareVersion> streamVersion = Optional.empty();
  private Optional<DelayedContinuation> continuation = Optional.empty();
  private Optional<AttemptTiming> attemptTiming = Optional.empty();
  private boolean streaming;
  private boolean targetEnded;
  private boolean waiting;
  private boolean silenceWatched;

  Exchange(
      ForwardCall call,
      Route route,
      String service,
      Optional<String> workspace,
      int priority,
      long arrivedMs) {
    this.call = call;
    this.callerStream = new CallerStream(call.port());
    this.route = route;
    this.service = service;
    this.workspace = workspace;
    this.priority = priority;
    this.arrivedMs = arrivedMs;
    this.deadlineMs =
        arrivedMs + Math.min(call.timeoutMs().orElse(route.timeoutMs()), route.timeoutMs());
  }

  ForwardCall call() {
    return call;
  }

  Route route() {
    return route;
  }

  String service() {
    return service;
  }

  long arrivedMs() {
    return arrivedMs;
  }

  long deadlineMs() {
    return deadlineMs;
  }

  /** Targets that this request was sent to, or that were chosen as the destination of a move. */
  Set<TargetId> tried() {
    return tried;
  }

  int attempt() {
    return attempt;
  }

  /** Number of times that the request was sent to a target. */
  int sends() {
    return sends;
  }

  /** Number of targets that may have run the request. */
  int possibleRuns() {
    return possibleRuns;
  }

  Optional<Target> target() {
    return target;
  }

  Optional<ResponseHead> head() {
    return head;
  }

  /** Whether the response to the current attempt is a stream. */
  boolean streaming() {
    return streaming;
  }

  /** The response as far as the caller gets it as a stream. */
  CallerStream callerStream() {
    return callerStream;
  }

  /** Checks the current attempt for silence, because its target leaves or is gone. */
  void watchSilence() {
    silenceWatched = true;
  }

  boolean silenceWatched() {
    return silenceWatched;
  }

  boolean waiting() {
    return waiting;
  }

  void setWaiting(boolean value) {
    waiting = value;
  }

  /** The placement request that has no final reply yet. */
  Optional<PendingPlacement> pendingPlacement() {
    return pendingPlacement;
  }

  /** Whether the pending placement request has this ticket. */
  boolean awaitsReply(long ticket) {
    return pendingPlacement.filter(pending -> pending.ticket() == ticket).isPresent();
  }

  void setPendingPlacement(PendingPlacement pending) {
    pendingPlacement = Optional.of(pending);
  }

  void clearPendingPlacement() {
    pendingPlacement = Optional.empty();
  }

  /** Marks the pending placement as queued until an engine has room. */
  void setQueued() {
    pendingPlacement = pendingPlacement.map(PendingPlacement::asQueued);
  }

  /** Returns the placement requirements of the request, with a preferred failure domain. */
  PlacementNeed placementNeed(
      PlacementNeed.Purpose purpose, FailureDomain preferredDomain, long nowMs) {
    return PlacementNeeds.of(this, purpose, preferredDomain, nowMs);
  }

  Optional<String> workspace() {
    return workspace;
  }

  /** Priority of the request; 0 is the highest. */
  int priority() {
    return priority;
  }

  /** Tokens of the prompt; 0 if not a generation. */
  long promptTokens() {
    return call.generationSize().map(GenerationSize::promptTokens).orElse(0L);
  }

  Optional<GenerationMove> move() {
    return move;
  }

  void setMove(GenerationMove current) {
    if (move.isEmpty()) {
      current.destination().reserve(tokens());
    }
    move = Optional.of(current);
  }

  /** Counts an attempt to move from the current target; returns false if there were too many. */
  boolean countMoveAttempt(int max) {
    moveAttempts++;
    return moveAttempts <= max;
  }

  /** Cancels a move and releases the memory reserved for it. */
  void cancelMove() {
    move.ifPresent(current -> current.destination().reserve(-tokens()));
    move = Optional.empty();
  }

  /** The continuation from a copy that waits until its engine accepts requests. */
  Optional<DelayedContinuation> continuation() {
    return continuation;
  }

  void setContinuation(DelayedContinuation delayed) {
    continuation = Optional.of(delayed);
  }

  /** The engine that continuously gets a copy of the generation's memory. */
  Optional<Target> backup() {
    return backup;
  }

  /** Whether the source was told to stop the generation, so that its stream ends early. */
  boolean stopOrdered() {
    return move.isPresent() && move.get().stage() == GenerationMove.Stage.STOPPING;
  }

  /**
   * Whether the current attempt continues from copied memory and thus belongs to the previous run.
   * A target that did not run the attempt says nothing about that run, which still counts.
   */
  boolean continuesFromCopy() {
    return continuesFromCopy;
  }

  EventFraming framing() {
    return framing;
  }

  /** Time at which the current attempt was sent. */
  long sentMs() {
    return sentMs;
  }

  /** Time in milliseconds from the arrival until the request was first sent, or until now. */
  long unplacedMs(long nowMs) {
    return firstSentMs.orElse(nowMs) - arrivedMs;
  }

  /** How far the response to the current attempt has come. */
  AttemptProgress progress() {
    return progress;
  }

  void setProgress(AttemptProgress reached) {
    progress = reached;
  }

  /** Starts a new attempt at a target. */
  AttemptOrder startAttempt(
      Target chosen, Optional<CopiedMemory> memory, Optional<Target> chosenBackup, long nowMs) {
    endAttempt();
    attempt++;
    sends++;
    continuesFromCopy = memory.isPresent();
    possibleRuns += continuesFromCopy ? 0 : 1;
    waiting = false;
    sentMs = nowMs;
    firstSentMs = firstSentMs.or(() -> Optional.of(nowMs));
    progress = AttemptProgress.NONE;
    target = Optional.of(chosen);
    backup = chosenBackup;
    backup.ifPresent(engine -> engine.reserve(tokens()));
    tried.add(chosen.info().id());
    prefillTokens = memory.isPresent() ? 0 : promptTokens();
    chosen.started(tokens(), prefillTokens);
    head = Optional.empty();
    streaming = false;
    targetEnded = false;
    silenceWatched = false;
    moveAttempts = 0;
    return new AttemptOrder(
        call,
        attempt,
        chosen.info(),
        Math.max(1, deadlineMs - nowMs),
        workspace,
        priority,
        callerStream.begun() ? framing.lastEventId() : Optional.empty(),
        memory,
        backup.map(Target::info));
  }

  /** The software version that the stream stays at; empty before its first event. */
  Optional<SoftwareVersion> streamVersion() {
    return streamVersion;
  }

  /** Sends a stream that is taken up to what began it. */
  void setOrigin(StreamOrigin origin) {
    service = origin.service();
    streamVersion = Optional.of(origin.version());
  }

  /** Fixes the software version that the stream stays at. */
  void setStreamVersion(SoftwareVersion version) {
    streamVersion = Optional.of(version);
  }

  /** Records that the prefill is done, which is known once the target responds. */
  void prefillDone() {
    target.ifPresent(current -> current.prefillDone(prefillTokens));
    prefillTokens = 0;
  }

  /** Tokens that the request is expected to hold in memory when it ends; 0 if not a generation. */
  long tokens() {
    return call.generationSize().map(GenerationSize::expectedTokens).orElse(0L);
  }

  /** Ends the current attempt and removes its load; its later messages are ignored. */
  void endAttempt() {
    prefillDone();
    target.ifPresent(current -> current.ended(tokens()));
    target = Optional.empty();
    backup.ifPresent(engine -> engine.reserve(-tokens()));
    backup = Optional.empty();
    continuation = Optional.empty();
    cancelMove();
    bufferedBody.clear();
    framing.dropPartial();
    attempt++;
  }

  /** Records that the current attempt did not run. */
  void markNotRun() {
    possibleRuns -= continuesFromCopy ? 0 : 1;
  }

  void setHead(ResponseHead received) {
    head = Optional.of(received);
  }

  /** Records that the response to the current attempt is a stream. */
  void setStreaming(ResponseHead received) {
    streaming = true;
    callerStream.setHead(received, continuesFromCopy);
  }

  /**
   * Whether a stream would be incomplete if it ended now: within an event, or before the first one.
   * A stream without length and chunks ends with its connection, also when its target crashes.
   */
  boolean incompleteStream() {
    return framing.hasPartialEvent() || (streaming && !timing.begun());
  }

  /** The response as far as it is buffered, because it is not a stream. */
  ResponseBuffer bufferedBody() {
    return bufferedBody;
  }

  /** Number of bytes of memory that the parts of the response use which are not relayed yet. */
  long heldBytes() {
    return (long) bufferedBody.capacity() + framing.capacity() + callerStream.pendingBytes();
  }

  void setTargetEnded() {
    targetEnded = true;
  }

  boolean targetEnded() {
    return targetEnded;
  }

  /** Records a stream part; returns the time since the previous one, empty for the first. */
  Optional<Long> recordPart(long nowMs) {
    return timing.recordPart(nowMs);
  }

  /** Measurement of the target of the current attempt, if it runs a generation. */
  Optional<AttemptTiming> attemptTiming() {
    return attemptTiming;
  }

  void setAttemptTiming(Optional<AttemptTiming> current) {
    attemptTiming = current;
  }

  /** When the parts of a stream arrived. */
  StreamTiming timing() {
    return timing;
  }

  /** Time in milliseconds from the arrival to the first part; 0 if there is none yet. */
  long firstPartAfterMs() {
    return timing.begun() ? timing.firstPartMs() - arrivedMs : 0;
  }
}
