package dev.caroblb.forwarding;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.Payload;
import dev.caroblb.core.TargetId;
import dev.caroblb.routing.Route;
import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** State of one request from its arrival to its final answer. */
final class Exchange {
  /** An answer that is no stream is kept back until it is whole, up to this size. */
  private static final int MAX_ANSWER_BYTES = 4 << 20;

  /** Parts of a stream kept for a caller that does not read; the target is then not read either. */
  private static final int MAX_PENDING_BYTES = 1 << 20;

  /** Shorter generations mostly end within the notice of an engine that leaves. */
  private static final long MIN_BACKUP_OUTPUT_TOKENS = 200;

  private final ForwardCall call;
  private final Route route;
  private final String service;
  private final Optional<String> workspace;
  private final int rank;
  private final long arrivedMs;
  private final long deadlineMs;
  private final Set<TargetId> tried = new HashSet<>();
  private final EventFraming framing = new EventFraming();
  private final ByteArrayOutputStream answer = new ByteArrayOutputStream();
  private final ArrayDeque<Payload> pending = new ArrayDeque<>();

  private int attempt;
  private int sendings;
  private int runs;
  private int moves;
  private boolean goesOn;
  private long unreadTokens;
  private Optional<Target> target = Optional.empty();
  private Optional<Question> question = Optional.empty();
  private Optional<AnswerHead> head = Optional.empty();
  private Optional<Relocation> relocation = Optional.empty();
  private Optional<Target> backup = Optional.empty();
  private int pendingBytes;
  private boolean begun;
  private boolean targetEnded;
  private boolean waiting;
  private long firstPartMs;
  private long lastPartMs;
  private long longestPauseMs;

  Exchange(
      ForwardCall call,
      Route route,
      String service,
      Optional<String> workspace,
      int rank,
      long arrivedMs) {
    this.call = call;
    this.route = route;
    this.service = service;
    this.workspace = workspace;
    this.rank = rank;
    this.arrivedMs = arrivedMs;
    this.deadlineMs =
        arrivedMs + Math.min(call.waitMs().orElse(route.timeoutMs()), route.timeoutMs());
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

  /** Targets that refused or failed this request. */
  Set<TargetId> tried() {
    return tried;
  }

  int attempt() {
    return attempt;
  }

  /** Number of times the request was sent to a target. */
  int sendings() {
    return sendings;
  }

  /** Number of targets that may have run the request. */
  int runs() {
    return runs;
  }

  Optional<Target> target() {
    return target;
  }

  Optional<AnswerHead> head() {
    return head;
  }

  boolean begun() {
    return begun;
  }

  boolean waiting() {
    return waiting;
  }

  void setWaiting(boolean waits) {
    waiting = waits;
  }

  /** The question for a target that has no final answer yet. */
  Optional<Question> question() {
    return question;
  }

  void ask(Question asked) {
    question = Optional.of(asked);
  }

  void answered() {
    question = Optional.empty();
  }

  /** The answer is that the request waits for room. */
  void setQueued() {
    question = question.map(Question::waits);
  }

  /** What the request needs of a target in or near a failure domain. */
  PlacementNeed need(PlacementNeed.Purpose purpose, FailureDomain near, long nowMs) {
    // Streams that may be resumed need no backup: they are sent again from their last event.
    boolean keep = !route.resumable() && lasts();
    return new PlacementNeed(
        purpose,
        service,
        tokens(),
        promptTokens(),
        tried,
        near,
        keep,
        rank,
        Math.max(0, arrivedMs + route.objectiveMs() - nowMs));
  }

  private boolean lasts() {
    return call.prompt()
        .filter(size -> size.expectedOutputTokens() >= MIN_BACKUP_OUTPUT_TOKENS)
        .isPresent();
  }

  private long promptTokens() {
    return call.prompt().map(GenerationSize::promptTokens).orElse(0L);
  }

  Optional<Relocation> relocation() {
    return relocation;
  }

  void relocate(Relocation current) {
    if (relocation.isEmpty()) {
      current.destination().reserve(tokens());
    }
    relocation = Optional.of(current);
  }

  /** Counts a move away from the present target; false when there were too many. */
  boolean countMove(int most) {
    moves++;
    return moves <= most;
  }

  /** Gives a move up. */
  void stay() {
    relocation.ifPresent(current -> current.destination().reserve(-tokens()));
    relocation = Optional.empty();
  }

  /** The engine that gets a copy of the generation's memory as it grows. */
  Optional<Target> backup() {
    return backup;
  }

  /** Whether the generation was told to stop, so that the end of its stream is to be expected. */
  boolean toldToStop() {
    return relocation.isPresent() && relocation.get().stage() == Relocation.Stage.STOPPING;
  }

  /**
   * Whether the present attempt goes on from copied memory, as a part of the run before. That its
   * target did not run it says nothing of that run.
   */
  boolean goesOn() {
    return goesOn;
  }

  EventFraming framing() {
    return framing;
  }

  /** Starts a sending to a target. */
  AttemptOrder start(
      Target chosen, Optional<CopiedMemory> memory, Optional<Target> copies, long nowMs) {
    release();
    attempt++;
    sendings++;
    goesOn = memory.isPresent();
    runs += goesOn ? 0 : 1;
    waiting = false;
    target = Optional.of(chosen);
    backup = copies;
    backup.ifPresent(engine -> engine.reserve(tokens()));
    tried.add(chosen.info().id());
    unreadTokens = memory.isPresent() ? 0 : promptTokens();
    chosen.started(tokens(), unreadTokens);
    head = Optional.empty();
    answer.reset();
    framing.dropPartial();
    targetEnded = false;
    moves = 0;
    return new AttemptOrder(
        call,
        attempt,
        chosen.info(),
        Math.max(1, deadlineMs - nowMs),
        workspace,
        rank,
        begun ? framing.lastEventId() : Optional.empty(),
        memory,
        backup.map(Target::info));
  }

  /** The target answers, so it has read the prompt. */
  void promptRead() {
    target.ifPresent(current -> current.read(unreadTokens));
    unreadTokens = 0;
  }

  /** Tokens that the request is expected to hold in memory when it ends; 0 for a plain one. */
  long tokens() {
    return call.prompt().map(GenerationSize::expectedTokens).orElse(0L);
  }

  /** Ends the account of the present attempt; later messages of it are ignored. */
  void release() {
    promptRead();
    target.ifPresent(current -> current.ended(tokens()));
    target = Optional.empty();
    backup.ifPresent(engine -> engine.reserve(-tokens()));
    backup = Optional.empty();
    stay();
    attempt++;
  }

  /** The present attempt certainly did not run. */
  void didNotRun() {
    runs -= goesOn ? 0 : 1;
  }

  void setHead(AnswerHead received) {
    head = Optional.of(received);
  }

  void setBegun() {
    begun = true;
  }

  /** Collects a part of an answer that is no stream; false when it grew too large. */
  boolean collect(Payload part) {
    byte[] bytes = part.toBytes();
    answer.write(bytes, 0, bytes.length);
    return answer.size() <= MAX_ANSWER_BYTES;
  }

  Payload answer() {
    return Payload.copyOf(answer.toByteArray());
  }

  /** Passes whole events on, or keeps them until the caller reads; false when it keeps too many. */
  boolean forward(Payload events) {
    if (events.size() > 0) {
      pending.addLast(events);
      pendingBytes += events.size();
    }
    return flush() || pendingBytes <= MAX_PENDING_BYTES;
  }

  /** Writes what is kept; true when nothing is left. */
  boolean flush() {
    while (!pending.isEmpty()) {
      if (!call.port().write(pending.peekFirst())) {
        return false;
      }
      pendingBytes -= pending.removeFirst().size();
    }
    return true;
  }

  void setTargetEnded() {
    targetEnded = true;
  }

  boolean targetEnded() {
    return targetEnded;
  }

  /** Notes a part of a stream and returns the time since the one before, 0 for the first. */
  long partAt(long nowMs) {
    if (firstPartMs == 0) {
      firstPartMs = nowMs;
      lastPartMs = nowMs;
      return 0;
    }
    long pause = nowMs - lastPartMs;
    lastPartMs = nowMs;
    longestPauseMs = Math.max(longestPauseMs, pause);
    return pause;
  }

  /** Time in milliseconds since the last part of a stream. */
  long silentFor(long nowMs) {
    return nowMs - lastPartMs;
  }

  /** Time in milliseconds from the arrival to the first part; 0 when none came. */
  long firstPartAfterMs() {
    return firstPartMs == 0 ? 0 : firstPartMs - arrivedMs;
  }

  /** Longest time in milliseconds between two parts. */
  long longestPauseMs() {
    return longestPauseMs;
  }
}
