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
   * Time in milliseconds within which an engine must have stopped a generation. If it has not, the
   * generation may still run and does not continue elsewhere.
   */
  private static final long STOP_TIMEOUT_MS = 4_000;

  /**
   * Time in milliseconds without a stream part after which a generation ends whose engine is gone
   * and that no other engine can continue. Callers abandon a stream a few seconds later.
   */
  private static final long ABANDON_TIMEOUT_MS = 4_000;

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
  private final Continuation continuation;
  private final CoordinatorClient coordinator;
  private final PromptGuard guard;
  private final ContinuationChooser continuations;

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
    continuation = new Continuation(exchanges, pool, dispatcher, responses);
    this.coordinator = coordinator;
    this.guard = guard;
    continuations = new ContinuationChooser(pool);
  }

  /** Starts to move all generations of a leaving engine. */
  void moveAway(Target leaving, Optional<RoutingTable> table, long nowMs) {
    for (Exchange exchange : exchanges.all()) {
      if (exchange.target().filter(target -> target == leaving).isPresent()) {
        moveIfLeaving(exchange, table, nowMs);
      }
    }
    watchSilence(leaving, nowMs);
  }

  /**
   * Checks from now on whether the streams of an engine fall silent that leaves or is gone. Its
   * connections may stay open without a reset, so that nothing else shows that it has ended.
   */
  void watchSilence(Target engine, long nowMs) {
    exchanges.watchSilence(engine, nowMs + RECHECK_MS);
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
    if (exchange.pendingPlacement().isPresent() || !exchange.countMoveAttempt(MAX_TRIES)) {
      return;
    }
    PlacementNeed need = moveNeed(exchange, source, nowMs);
    Optional<Long> replyByMs = coordinator.requestPlacement(exchange, need, nowMs);
    if (replyByMs.isPresent()) {
      exchanges.wakeAt(exchange, replyByMs.get());
      return;
    }
    startCopy(exchange, source, ownDestination(need, nowMs));
  }

  private static PlacementNeed moveNeed(Exchange exchange, Target source, long nowMs) {
    return exchange.placementNeed(PlacementNeed.Purpose.MOVE, source.info().domain(), nowMs);
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
    Optional<Target> source = exchange.target().filter(engine -> movesFrom(exchange, engine));
    if (source.isPresent() && exchange.move().isEmpty() && !exchange.targetEnded()) {
      startCopy(
          exchange,
          source.get(),
          destination.flatMap(
              id -> pool.usable(id, moveNeed(exchange, source.get(), nowMs), nowMs)));
    }
  }

  /** Chooses the destination itself, because no control instance replied. */
  private void placementTimedOut(Exchange exchange, long nowMs) {
    coordinator.timedOut(exchange);
    Optional<Target> source = exchange.target().filter(engine -> movesFrom(exchange, engine));
    if (source.isPresent() && exchange.move().isEmpty()) {
      PlacementNeed need = moveNeed(exchange, source.get(), nowMs);
      startCopy(exchange, source.get(), ownDestination(need, nowMs));
    }
  }

  private static boolean movesFrom(Exchange exchange, Target engine) {
    return engine.leaving() || exchange.silenceWatched();
  }

  private void startCopy(Exchange exchange, Target source, Optional<Target> destination) {
    if (destination.isEmpty()) {
      log(exchange, "forwarding.move_impossible", "no destination");
      return;
    }
    exchange.tried().add(destination.get().info().id());
    log(exchange, "forwarding.move", "to " + destination.get().info().id());
    exchange.setMove(GenerationMove.to(destination.get()));
    port.move(MoveOrder.of(exchange, source, destination.get(), false));
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
      continuation.at(exchange, move.destination(), memory, nowMs);
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
      continuation.delayed(exchange, delayed.get(), nowMs);
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
    if (source.isEmpty()) {
      return;
    }
    if (move.filter(current -> current.stage() == GenerationMove.Stage.COPIED).isPresent()) {
      checkCopied(exchange, source.get(), move.get(), nowMs);
    } else if (exchange.stopOrdered()) {
      checkStopping(exchange, source.get(), move.orElseThrow(), nowMs);
    } else if (exchange.silenceWatched() && !exchange.targetEnded()) {
      checkSilence(exchange, source.get(), nowMs);
    }
  }

  /** Continues, or ends, a silent generation of which there is no complete copy. */
  private void checkSilence(Exchange exchange, Target source, long nowMs) {
    exchanges.wakeAt(exchange, nowMs + RECHECK_MS);
    long silentMs = exchange.timing().silentMs(exchange.sentMs(), nowMs);
    boolean begun = exchange.streaming() || exchange.callerStream().begun();
    if (!begun || silentMs < SILENCE_TIMEOUT_MS) {
      return;
    }
    Optional<GenerationMove> move = exchange.move();
    boolean evacuated = move.filter(to -> to.destination().evacuated()).isPresent();
    if (silentMs >= ABANDON_TIMEOUT_MS) {
      continuation.abandon(exchange, "the engine is gone and no other one can continue", nowMs);
    } else if (!exchange.streaming() || evacuated) {
      return;
    } else if (move.isPresent()) {
      stop(exchange, source, move.get(), "silent for " + silentMs + " ms", nowMs);
    } else if (!sourceLost(exchange, nowMs) && !exchange.route().resumable()) {
      start(exchange, source, nowMs);
    }
  }

  private void checkCopied(Exchange exchange, Target source, GenerationMove move, long nowMs) {
    exchanges.wakeAt(exchange, nowMs + RECHECK_MS);
    if (move.destination().evacuated() && !move.updating()) {
      // No order is pending, so no result can be taken for one of the new destination.
      log(exchange, "forwarding.move_cancelled", move.destination().info().id() + " is evacuated");
      exchange.cancelMove();
      start(exchange, source, nowMs);
      return;
    }
    long silentMs = exchange.timing().sinceLastPartMs(nowMs);
    if (silentMs >= SILENCE_TIMEOUT_MS) {
      stop(exchange, source, move, "silent for " + silentMs + " ms", nowMs);
    } else if (!move.updating() && nowMs - move.copiedAtMs() >= REFRESH_MS) {
      exchange.setMove(move.updateOrdered());
      port.move(MoveOrder.of(exchange, source, move.destination(), false));
    }
  }

  private void checkStopping(Exchange exchange, Target source, GenerationMove move, long nowMs) {
    if (nowMs >= move.stopByMs()) {
      continuation.abandon(exchange, "the engine did not confirm in time that it stopped", nowMs);
    } else if (move.stopRetryMs().filter(retryMs -> nowMs >= retryMs).isPresent()) {
      exchange.setMove(move.stopping(move.stopByMs()));
      port.move(MoveOrder.of(exchange, source, move.destination(), true));
    }
  }

  /** Tells an engine to stop a generation, which continues elsewhere once it has stopped. */
  private void stop(
      Exchange exchange, Target source, GenerationMove move, String cause, long nowMs) {
    log(exchange, "forwarding.stopping", cause);
    coordinator.cancelPlacement(exchange);
    exchange.setMove(move.stopping(nowMs + STOP_TIMEOUT_MS));
    exchanges.wakeAt(exchange, nowMs + STOP_TIMEOUT_MS);
    port.move(MoveOrder.of(exchange, source, move.destination(), true));
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
    Optional<GenerationMove> move =
        source.flatMap(engine -> continuations.choose(exchange, engine, nowMs));
    if (move.isEmpty()) {
      return false;
    }
    if (!move.equals(exchange.move())) {
      exchange.cancelMove();
      exchange.tried().add(move.get().destination().info().id());
    }
    stop(exchange, source.get(), move.get(), "connection lost", nowMs);
    return true;
  }

  /**
   * Handles a failed order to stop a generation. The source may have stopped it and still hold the
   * memory, or it may have ended. Otherwise the generation may still run, and the order is
   * repeated.
   */
  private void stopFailed(
      Exchange exchange, Target source, GenerationMove move, MoveOutcome outcome, long nowMs) {
    if (outcome instanceof MoveOutcome.NoRoom noRoom && noRoom.handle().isPresent()) {
      continueAtSource(exchange, source, noRoom.handle().get(), nowMs);
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
      continuation.abandon(exchange, "move failed: " + outcome, nowMs);
      return;
    }
    continuation.at(exchange, move.destination(), move.copy().get(), nowMs);
  }

  /** Continues a generation at the engine that stopped it and still holds its memory. */
  private void continueAtSource(Exchange exchange, Target source, String handle, long nowMs) {
    if (source.evacuated()) {
      continuation.abandon(
          exchange, "the destination has no room and the source is evacuated", nowMs);
      return;
    }
    CopiedMemory memory = new CopiedMemory(source.info().address(), handle);
    dispatcher.continueFromCopy(exchange, source, memory, nowMs);
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
