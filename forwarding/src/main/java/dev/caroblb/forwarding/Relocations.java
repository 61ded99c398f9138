package dev.caroblb.forwarding;

import dev.caroblb.core.LogLine;
import dev.caroblb.core.TargetId;
import dev.caroblb.routing.EngineLimits;
import dev.caroblb.routing.RoutingTable;
import dev.caroblb.routing.Service;
import java.util.Optional;

/**
 * Moves the generations of an engine that leaves to other engines of its service, unless these have
 * a backup. A generation goes on at its engine while its memory is copied, and from the copy once
 * the engine breaks off. What it made after the copy is read again, which takes less time than a
 * last copy behind the copies of other generations on the same link.
 */
final class Relocations {
  private static final System.Logger LOGGER = System.getLogger(Relocations.class.getName());

  /** More destinations are not tried: the engine is gone before another copy would be complete. */
  private static final int MAX_TRIES = 3;

  /** Pause in milliseconds between two looks at a generation whose copy is complete. */
  private static final long LOOK_MS = 100;

  /** An engine that leaves and sent nothing for this time in milliseconds is told to stop. */
  private static final long SILENCE_MS = 400;

  /** A copy that is older than this, in milliseconds, is brought up to date. */
  private static final long REFRESH_MS = 2_000;

  private final ExchangeTable exchanges;
  private final TargetPool pool;
  private final TargetPort port;
  private final Sender sender;
  private final AnswerFlow answers;
  private final CoordinatorLink coordinator;

  Relocations(
      ExchangeTable exchanges,
      TargetPool pool,
      CoordinatorLink coordinator,
      TargetPort port,
      Sender sender,
      AnswerFlow answers) {
    this.exchanges = exchanges;
    this.pool = pool;
    this.port = port;
    this.sender = sender;
    this.answers = answers;
    this.coordinator = coordinator;
  }

  /** Moves what runs at an engine that leaves. */
  void moveAway(Target leaving, Optional<RoutingTable> table, long nowMs) {
    for (Exchange exchange : exchanges.all()) {
      if (exchange.target().filter(target -> target == leaving).isPresent()) {
        consider(exchange, table, nowMs);
      }
    }
  }

  /** Starts to move the generation of an exchange if it can be moved and its engine leaves. */
  void consider(Exchange exchange, Optional<RoutingTable> table, long nowMs) {
    if (exchange.relocation().isPresent() || exchange.question().isPresent()) {
      return;
    }
    if (!exchange.begun() || exchange.targetEnded()) {
      return;
    }
    Optional<Target> source = exchange.target().filter(Target::leaving);
    // A stream that may be resumed needs no copy: it is resumed when its engine breaks off.
    if (source.isEmpty() || exchange.route().resumable() || !movable(exchange, table)) {
      return;
    }
    if (exchange.backup().filter(pool::usable).isPresent()) {
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
    if (!exchange.countMove(MAX_TRIES)) {
      return;
    }
    PlacementNeed need = exchange.need(PlacementNeed.Purpose.MOVE, source.info().domain(), nowMs);
    Optional<Long> answerByMs = coordinator.ask(exchange, need, nowMs);
    if (answerByMs.isPresent()) {
      exchanges.wakeAt(exchange, answerByMs.get());
      return;
    }
    to(exchange, source, pool.chooseDestination(need, nowMs));
  }

  /** Takes the destination that was chosen for a generation, unless its engine is gone. */
  void given(Exchange exchange, Optional<TargetId> destination) {
    exchange.answered();
    Optional<Target> source = exchange.target().filter(Target::leaving);
    if (source.isPresent() && exchange.relocation().isEmpty() && !exchange.targetEnded()) {
      to(exchange, source.get(), destination.flatMap(pool::usable));
    }
  }

  /** Nobody answered where a generation should move. */
  private void unanswered(Exchange exchange, long nowMs) {
    coordinator.unanswered(exchange);
    Optional<Target> source = exchange.target().filter(Target::leaving);
    if (source.isPresent() && exchange.relocation().isEmpty()) {
      PlacementNeed need =
          exchange.need(PlacementNeed.Purpose.MOVE, source.get().info().domain(), nowMs);
      to(exchange, source.get(), pool.chooseDestination(need, nowMs));
    }
  }

  private void to(Exchange exchange, Target source, Optional<Target> destination) {
    if (destination.isEmpty()) {
      log(exchange, "forwarding.move_impossible", "no destination");
      return;
    }
    exchange.tried().add(destination.get().info().id());
    log(exchange, "forwarding.move", "to " + destination.get().info().id());
    exchange.relocate(Relocation.to(destination.get()));
    port.move(order(exchange, source, destination.get(), false));
  }

  private static MoveOrder order(
      Exchange exchange, Target source, Target destination, boolean last) {
    return new MoveOrder(
        exchange.call(),
        exchange.attempt(),
        source.info().address(),
        destination.info().address(),
        last);
  }

  /** Goes on after a copy was made or failed. */
  void moved(Exchange exchange, boolean last, MoveOutcome outcome, long nowMs) {
    Optional<Relocation> relocation = exchange.relocation();
    Optional<Target> source = exchange.target();
    if (relocation.isEmpty() || source.isEmpty()) {
      return;
    }
    if (outcome instanceof MoveOutcome.Copied copied) {
      CopiedMemory memory = new CopiedMemory(source.get().info().address(), copied.handle());
      copied(exchange, relocation.get(), last, memory, nowMs);
      return;
    }
    log(exchange, "forwarding.move_failed", outcome.toString());
    if (last) {
      stopped(exchange, source.get(), relocation.get(), outcome, nowMs);
      return;
    }
    if (relocation.get().copy().isPresent()) {
      return;
    }
    exchange.stay();
    if (!(outcome instanceof MoveOutcome.NotRunning)) {
      start(exchange, source.get(), nowMs);
    }
  }

  private void copied(
      Exchange exchange, Relocation relocation, boolean last, CopiedMemory memory, long nowMs) {
    if (last) {
      goOn(exchange, relocation.destination(), memory, nowMs);
      return;
    }
    log(exchange, "forwarding.copied", "to " + relocation.destination().info().id());
    exchange.relocate(relocation.copied(memory, nowMs));
    exchanges.wakeAt(exchange, nowMs + LOOK_MS);
  }

  /** Looks after a generation whose copy is complete and that still goes on at its engine. */
  void due(Exchange exchange, long nowMs) {
    if (exchange.question().isPresent()) {
      if (!exchange.question().get().open(nowMs)) {
        unanswered(exchange, nowMs);
      }
      return;
    }
    Optional<Relocation> relocation = exchange.relocation();
    Optional<Target> source = exchange.target();
    if (relocation.isEmpty()
        || source.isEmpty()
        || relocation.get().stage() != Relocation.Stage.COPIED) {
      return;
    }
    Relocation current = relocation.get();
    exchanges.wakeAt(exchange, nowMs + LOOK_MS);
    if (exchange.silentFor(nowMs) >= SILENCE_MS) {
      log(exchange, "forwarding.stopping", "silent for " + exchange.silentFor(nowMs) + " ms");
      exchange.relocate(current.stopping());
      port.move(order(exchange, source.get(), current.destination(), true));
    } else if (nowMs - current.copiedAtMs() >= REFRESH_MS) {
      exchange.relocate(current.refreshing(nowMs));
      port.move(order(exchange, source.get(), current.destination(), false));
    }
  }

  /**
   * The engine broke off while its generation was being moved. Returns whether that is dealt with:
   * the generation goes on from a copy or its backup, or the outcome of the last copy decides.
   */
  boolean sourceLost(Exchange exchange, long nowMs) {
    if (exchange.toldToStop()) {
      return true;
    }
    Optional<Relocation> moved = exchange.relocation().filter(move -> move.copy().isPresent());
    if (moved.isPresent()) {
      goOn(exchange, moved.get().destination(), moved.get().copy().get(), nowMs);
      return true;
    }
    Optional<Target> backup = exchange.backup().filter(pool::usable);
    backup.ifPresent(engine -> goOn(exchange, engine, backupOf(exchange, engine), nowMs));
    return backup.isPresent();
  }

  private static CopiedMemory backupOf(Exchange exchange, Target engine) {
    return new CopiedMemory(engine.info().address(), exchange.call().requestId());
  }

  private void goOn(Exchange exchange, Target destination, CopiedMemory memory, long nowMs) {
    log(exchange, "forwarding.moved", "to " + destination.info().id());
    sender.goOn(exchange, destination, memory, nowMs);
  }

  /**
   * The last copy failed. The memory may still be at the source, which stopped the generation, or
   * an earlier copy at the destination.
   */
  private void stopped(
      Exchange exchange, Target source, Relocation relocation, MoveOutcome outcome, long nowMs) {
    if (outcome instanceof MoveOutcome.NoRoom noRoom && noRoom.handle().isPresent()) {
      CopiedMemory memory = new CopiedMemory(source.info().address(), noRoom.handle().get());
      sender.goOn(exchange, source, memory, nowMs);
      return;
    }
    if (relocation.copy().isPresent()) {
      goOn(exchange, relocation.destination(), relocation.copy().get(), nowMs);
      return;
    }
    exchange.stay();
    answers.targetFailed(exchange, "move failed: " + outcome, nowMs);
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
