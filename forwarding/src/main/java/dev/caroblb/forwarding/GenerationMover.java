package dev.caroblb.forwarding;

import dev.caroblb.core.LogLine;
import dev.caroblb.core.TargetId;
import dev.caroblb.routing.EngineLimits;
import dev.caroblb.routing.RoutingTable;
import dev.caroblb.routing.Service;
import dev.caroblb.targets.PlacementNeed;
import dev.caroblb.targets.Target;
import dev.caroblb.targets.TargetPool;
import java.util.Optional;

/**
 * Moves the generations of a leaving engine to other engines of its service, except generations
 * with a backup. A generation keeps running at its engine while its memory is copied, and continues
 * from the copy once the engine closes the stream. Until then the copy is updated, since tokens
 * that it lacks need prefill again; a final copy would wait for other copies on the same link.
 *
 * <p>A lost connection does not show that the engine stopped the generation. Before a generation
 * continues elsewhere, its engine is therefore told to stop it, unless its process has ended.
 */
final class GenerationMover {
  private static final System.Logger LOGGER = System.getLogger(GenerationMover.class.getName());

  /** Maximum number of destinations; the engine ends before a further copy could complete. */
  private static final int MAX_TRIES = 3;

  /** Interval in milliseconds between two checks of a generation whose copy is complete. */
  private static final long RECHECK_MS = 100;

  /**
   * Time in milliseconds without a stream part after which a leaving engine is told to stop the
   * generation.
   */
  private static final long SILENCE_TIMEOUT_MS = 400;

  /**
   * Maximum time in milliseconds that a generation waits for an engine with its copy that rejects
   * requests. Engines keep a copy for some seconds, and callers abandon a stream without events.
   */
  private static final long MAX_CONTINUATION_DELAY_MS = 4_000;

  /**
   * Time in milliseconds within which an engine must have stopped a generation. If it has not, the
   * generation may still run and does not continue elsewhere.
   */
  private static final long STOP_TIMEOUT_MS = 4_000;

  /** Minimum delay in milliseconds before a failed order to stop a generation is repeated. */
  private static final long MIN_STOP_RETRY_MS = 100;

  /**
   * Age in milliseconds at which a copy is updated. The destination needs prefill for the tokens
   * that a copy lacks and queues it behind the prompts of other requests, which pauses the stream.
   */
  private static final long REFRESH_MS = 300;

  private final ExchangeTable exchanges;
  private final TargetPool pool;
  private final TargetPort port;
  private final Dispatcher dispatcher;
  private final ResponseRelay responses;
  private final CoordinatorClient coordinator;
  private final PromptGuard guard;

  GenerationMover(
      ExchangeTable exchanges,
      TargetPool pool,
      CoordinatorClient coordinator,
      TargetPort port,
      Dispatcher dispatcher,
      ResponseRelay responses,
      PromptGuard guard) {
    this.exchanges = exchanges;
    this.pool = pool;
    this.port = port;
    this.dispatcher = dispatcher;
    this.responses = responses;
    this.coordinator = coordinator;
    this.guard = guard;
  }

  /** Starts to move all generations of a leaving engine. */
  void moveAway(Target leaving, Optional<RoutingTable> table, long nowMs) {
    for (Exchange exchange : exchanges.all()) {
      if (exchange.target().filter(target -> target == leaving).isPresent()) {
        moveIfLeaving(exchange, table, nowMs);
      }
    }
  }

  /** Starts to move the generation of an exchange if its engine leaves and it can be moved. */
  void moveIfLeaving(Exchange exchange, Optional<RoutingTable> table, long nowMs) {
    if (exchange.move().isPresent() || exchange.pendingPlacement().isPresent()) {
      return;
    }
    if (!exchange.streaming() || exchange.targetEnded()) {
      return;
    }
    Optional<Target> source = exchange.target().filter(Target::leaving);
    // A resumable stream needs no copy: it resumes when its engine closes the stream.
    if (source.isEmpty() || exchange.route().resumable() || !movable(exchange, table)) {
      return;
    }
    boolean quarantined = guard.blocking(exchange.call(), nowMs).isPresent();
    if (quarantined || exchange.backup().filter(pool::staying).isPresent()) {
      return;
    }
    start(exchange, source.get(), nowMs);
  }

  private static boolean movable(Exchange exchange, Optional<RoutingTable> table) {
    return table
        .flatMap(t -> t.service(exchange.service()))
        .flatMap(Service::engine)
        .filter(EngineLimits::moves)
        .isPresent();
  }

  private void start(Exchange exchange, Target source, long nowMs) {
    if (!exchange.countMoveAttempt(MAX_TRIES)) {
      return;
    }
    PlacementNeed need =
        exchange.placementNeed(PlacementNeed.Purpose.MOVE, source.info().domain(), nowMs);
    Optional<Long> replyByMs = coordinator.requestPlacement(exchange, need, nowMs);
    if (replyByMs.isPresent()) {
      exchanges.wakeAt(exchange, replyByMs.get());
      return;
    }
    startCopy(exchange, source, ownDestination(need, nowMs));
  }

  /** Chooses the destination of a move without a control instance. */
  private Optional<Target> ownDestination(PlacementNeed need, long nowMs) {
    Optional<Target> destination =
        pool.chooseDestination(need, TargetPool.OWN_MOVE_CANDIDATES, nowMs);
    destination.ifPresent(target -> pool.takePermit(target, nowMs));
    return destination;
  }

  /** Starts the copy to the destination that a control instance chose, if it is still needed. */
  void destinationChosen(Exchange exchange, Optional<TargetId> destination, long nowMs) {
    exchange.clearPendingPlacement();
    Optional<Target> source = exchange.target().filter(Target::leaving);
    if (source.isPresent() && exchange.move().isEmpty() && !exchange.targetEnded()) {
      startCopy(
          exchange,
          source.get(),
          destination.flatMap(id -> pool.usable(id, exchange.service(), nowMs)));
    }
  }

  /** Chooses the destination itself, because no control instance replied. */
  private void placementTimedOut(Exchange exchange, long nowMs) {
    coordinator.timedOut(exchange);
    Optional<Target> source = exchange.target().filter(Target::leaving);
    if (source.isPresent() && exchange.move().isEmpty()) {
      PlacementNeed need =
          exchange.placementNeed(PlacementNeed.Purpose.MOVE, source.get().info().domain(), nowMs);
      startCopy(exchange, source.get(), ownDestination(need, nowMs));
    }
  }

  private void startCopy(Exchange exchange, Target source, Optional<Target> destination) {
    if (destination.isEmpty()) {
      log(exchange, "forwarding.move_impossible", "no destination");
      return;
    }
    exchange.tried().add(destination.get().info().id());
    log(exchange, "forwarding.move", "to " + destination.get().info().id());
    exchange.setMove(GenerationMove.to(destination.get()));
    port.move(order(exchange, source, destination.get(), false));
  }

  private static MoveOrder order(
      Exchange exchange, Target source, Target destination, boolean finalCopy) {
    return new MoveOrder(
        exchange.call(),
        exchange.attempt(),
        source.info().address(),
        destination.info().address(),
        finalCopy);
  }

  /** Handles the result of a copy. */
  void copyEnded(Exchange exchange, boolean finalCopy, MoveOutcome outcome, long nowMs) {
    Optional<GenerationMove> move = exchange.move();
    Optional<Target> source = exchange.target();
    if (move.isEmpty() || source.isEmpty()) {
      return;
    }
    if (!finalCopy && exchange.stopOrdered()) {
      // Concerns an earlier order; the result of the order to stop is still to come.
      return;
    }
    if (outcome instanceof MoveOutcome.Copied copied) {
      CopiedMemory memory = new CopiedMemory(source.get().info().address(), copied.handle());
      copyCompleted(exchange, move.get(), finalCopy, memory, nowMs);
      return;
    }
    log(exchange, "forwarding.move_failed", outcome.toString());
    if (finalCopy) {
      stopFailed(exchange, source.get(), move.get(), outcome, nowMs);
      return;
    }
    if (move.get().copy().isPresent()) {
      exchange.setMove(move.get().updateFailed(nowMs));
      return;
    }
    exchange.cancelMove();
    if (!(outcome instanceof MoveOutcome.NotRunning)) {
      start(exchange, source.get(), nowMs);
    }
  }

  private void copyCompleted(
      Exchange exchange, GenerationMove move, boolean finalCopy, CopiedMemory memory, long nowMs) {
    if (finalCopy) {
      continueAt(exchange, move.destination(), memory, nowMs);
      return;
    }
    log(exchange, "forwarding.copied", "to " + move.destination().info().id());
    exchange.setMove(move.copied(memory, nowMs));
    exchanges.wakeAt(exchange, nowMs + RECHECK_MS);
  }

  /**
   * Handles a timer of a request with a target: times out a pending placement request, or checks a
   * generation whose copy is complete. An old copy is updated; if the engine is silent, it is told
   * to stop the generation.
   */
  void timerFired(Exchange exchange, long nowMs) {
    Optional<DelayedContinuation> delayed = exchange.continuation();
    if (delayed.isPresent()) {
      continueDelayed(exchange, delayed.get(), nowMs);
      return;
    }
    if (exchange.pendingPlacement().isPresent()) {
      if (!exchange.pendingPlacement().get().awaitsFirstReply(nowMs)) {
        placementTimedOut(exchange, nowMs);
      }
      return;
    }
    Optional<GenerationMove> move = exchange.move();
    Optional<Target> source = exchange.target();
    if (move.isEmpty() || source.isEmpty()) {
      return;
    }
    switch (move.get().stage()) {
      case COPIED -> checkCopied(exchange, source.get(), move.get(), nowMs);
      case STOPPING -> checkStopping(exchange, source.get(), move.get(), nowMs);
      case COPYING -> {}
    }
  }

  private void checkCopied(Exchange exchange, Target source, GenerationMove move, long nowMs) {
    exchanges.wakeAt(exchange, nowMs + RECHECK_MS);
    long silentMs = exchange.timing().sinceLastPartMs(nowMs);
    if (silentMs >= SILENCE_TIMEOUT_MS) {
      stop(exchange, source, move, "silent for " + silentMs + " ms", nowMs);
    } else if (!move.updating() && nowMs - move.copiedAtMs() >= REFRESH_MS) {
      exchange.setMove(move.updateOrdered());
      port.move(order(exchange, source, move.destination(), false));
    }
  }

  private void checkStopping(Exchange exchange, Target source, GenerationMove move, long nowMs) {
    if (nowMs >= move.stopByMs()) {
      abandon(exchange, "the engine did not confirm in time that it stopped", nowMs);
    } else if (move.stopRetryMs().filter(retryMs -> nowMs >= retryMs).isPresent()) {
      exchange.setMove(move.stopping(move.stopByMs()));
      port.move(order(exchange, source, move.destination(), true));
    }
  }

  /** Tells an engine to stop a generation, which continues elsewhere once it has stopped. */
  private void stop(
      Exchange exchange, Target source, GenerationMove move, String cause, long nowMs) {
    log(exchange, "forwarding.stopping", cause);
    coordinator.cancelPlacement(exchange);
    exchange.setMove(move.stopping(nowMs + STOP_TIMEOUT_MS));
    exchanges.wakeAt(exchange, nowMs + STOP_TIMEOUT_MS);
    port.move(order(exchange, source, move.destination(), true));
  }

  /**
   * Handles a stream that ended early or whose connection failed. Returns true if the generation
   * has a copy or a backup, from which it continues as soon as its engine has stopped it.
   */
  boolean sourceLost(Exchange exchange, long nowMs) {
    if (exchange.stopOrdered()) {
      return true;
    }
    Optional<Target> source = exchange.target();
    Optional<GenerationMove> copied = exchange.move().filter(move -> move.copy().isPresent());
    if (source.isEmpty()) {
      return false;
    }
    if (copied.isPresent()) {
      stop(exchange, source.get(), copied.get(), "connection lost", nowMs);
      return true;
    }
    Optional<Target> backup = exchange.backup().filter(pool::staying);
    if (backup.isEmpty()) {
      return false;
    }
    exchange.cancelMove();
    GenerationMove move =
        GenerationMove.toBackup(backup.get(), backupOf(exchange, backup.get()), nowMs);
    stop(exchange, source.get(), move, "connection lost", nowMs);
    return true;
  }

  private static CopiedMemory backupOf(Exchange exchange, Target engine) {
    return new CopiedMemory(engine.info().address(), exchange.call().requestId());
  }

  /**
   * Continues a generation at the engine that has its copy. If that engine wants no requests from
   * this instance for a short time, the generation continues after it.
   */
  private void continueAt(Exchange exchange, Target destination, CopiedMemory memory, long nowMs) {
    if (destination.accepts(nowMs) || destination.leaving()) {
      log(exchange, "forwarding.moved", "to " + destination.info().id());
      dispatcher.continueFromCopy(exchange, destination, memory, nowMs);
      return;
    }
    if (destination.rejectsUntilMs() - nowMs > MAX_CONTINUATION_DELAY_MS) {
      abandon(exchange, "the engine with the copy rejects requests", nowMs);
      return;
    }
    log(exchange, "forwarding.continuation_delayed", "to " + destination.info().id());
    exchange.setContinuation(new DelayedContinuation(destination, memory));
    exchanges.wakeAt(exchange, destination.rejectsUntilMs());
  }

  private void continueDelayed(Exchange exchange, DelayedContinuation delayed, long nowMs) {
    if (pool.staying(delayed.destination())) {
      continueAt(exchange, delayed.destination(), delayed.memory(), nowMs);
      return;
    }
    abandon(exchange, "the engine with the copy is gone", nowMs);
  }

  /**
   * Handles a failed order to stop a generation. The source may have stopped it and still hold the
   * memory, or it may have ended. Otherwise the generation may still run, and the order is
   * repeated.
   */
  private void stopFailed(
      Exchange exchange, Target source, GenerationMove move, MoveOutcome outcome, long nowMs) {
    if (outcome instanceof MoveOutcome.NoRoom noRoom && noRoom.handle().isPresent()) {
      CopiedMemory memory = new CopiedMemory(source.info().address(), noRoom.handle().get());
      dispatcher.continueFromCopy(exchange, source, memory, nowMs);
      return;
    }
    boolean ended =
        outcome instanceof MoveOutcome.SourceEnded || outcome instanceof MoveOutcome.NotRunning;
    if (!ended) {
      // Doubles the time since the first order: each order needs a connection of its own.
      long elapsedMs = nowMs - (move.stopByMs() - STOP_TIMEOUT_MS);
      long retryMs = nowMs + Math.max(MIN_STOP_RETRY_MS, elapsedMs);
      exchange.setMove(move.stopFailed(retryMs));
      exchanges.wakeAt(exchange, Math.min(retryMs, move.stopByMs()));
      return;
    }
    // A generation without events may be queued, and start later.
    boolean mayStart =
        outcome instanceof MoveOutcome.NotRunning && exchange.progress() != AttemptProgress.CONTENT;
    if (move.copy().isEmpty() || mayStart) {
      abandon(exchange, "move failed: " + outcome, nowMs);
      return;
    }
    continueAt(exchange, move.destination(), move.copy().get(), nowMs);
  }

  private void abandon(Exchange exchange, String cause, long nowMs) {
    exchange.cancelMove();
    responses.targetFailed(exchange, cause, nowMs);
  }

  private static void log(Exchange exchange, String event, String detail) {
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of(event)
            .with("request", exchange.call().requestId())
            .with("source", exchange.target().map(t -> t.info().id().name()).orElse("none"))
            .with("detail", detail)
            .toString());
  }
}
