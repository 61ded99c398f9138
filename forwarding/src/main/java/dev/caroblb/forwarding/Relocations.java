package dev.caroblb.forwarding;

import dev.caroblb.core.LogLine;
import dev.caroblb.routing.EngineLimits;
import dev.caroblb.routing.RoutingTable;
import dev.caroblb.routing.Service;
import java.util.Optional;

/**
 * Moves the generations of an engine that leaves to other engines of its service. A copy is made
 * while the generation goes on, so that the last copy, for which it stops, is short.
 */
final class Relocations {
  private static final System.Logger LOGGER = System.getLogger(Relocations.class.getName());

  /** More destinations are not tried: the engine is gone before another copy would be complete. */
  private static final int MAX_TRIES = 3;

  private final ExchangeTable exchanges;
  private final TargetPool pool;
  private final TargetPort port;
  private final Sender sender;
  private final AnswerFlow answers;

  Relocations(
      ExchangeTable exchanges,
      TargetPool pool,
      TargetPort port,
      Sender sender,
      AnswerFlow answers) {
    this.exchanges = exchanges;
    this.pool = pool;
    this.port = port;
    this.sender = sender;
    this.answers = answers;
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
    if (exchange.relocation().isPresent() || !exchange.begun() || exchange.targetEnded()) {
      return;
    }
    Optional<Target> source = exchange.target().filter(Target::leaving);
    if (source.isEmpty() || !movable(exchange, table)) {
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
    Optional<Target> destination = pool.choose(exchange.service(), exchange.tried(), nowMs);
    if (destination.isEmpty()) {
      log(exchange, "forwarding.move_impossible", "no destination");
      return;
    }
    exchange.tried().add(destination.get().info().id());
    exchange.relocate(new Relocation(destination.get(), Relocation.Stage.COPYING));
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
      copied(exchange, source.get(), relocation.get(), last, copied.handle(), nowMs);
      return;
    }
    log(exchange, "forwarding.move_failed", outcome.toString());
    exchange.stay();
    if (last) {
      stopped(exchange, source.get(), outcome, nowMs);
      return;
    }
    if (!(outcome instanceof MoveOutcome.NotRunning)) {
      start(exchange, source.get(), nowMs);
    }
  }

  private void copied(
      Exchange exchange,
      Target source,
      Relocation relocation,
      boolean last,
      String handle,
      long nowMs) {
    if (!last) {
      exchange.relocate(relocation.stopping());
      port.move(order(exchange, source, relocation.destination(), true));
      return;
    }
    log(exchange, "forwarding.moved", "to " + relocation.destination().info().id());
    CopiedMemory memory = new CopiedMemory(source.info().address(), handle);
    sender.goOn(exchange, relocation.destination(), memory, nowMs);
  }

  /** The generation stopped and the last copy failed; its memory may still be at the source. */
  private void stopped(Exchange exchange, Target source, MoveOutcome outcome, long nowMs) {
    if (outcome instanceof MoveOutcome.NoRoom noRoom && noRoom.handle().isPresent()) {
      CopiedMemory memory = new CopiedMemory(source.info().address(), noRoom.handle().get());
      sender.goOn(exchange, source, memory, nowMs);
      return;
    }
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
