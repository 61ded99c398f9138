package dev.caroblb.forwarding;

import dev.caroblb.core.LogLine;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.RetryReason;
import dev.caroblb.routing.Route;
import java.util.Optional;

/** Sends requests to targets: first, again after a failure, and from copied memory. */
final class Sender {
  private static final System.Logger LOGGER = System.getLogger(Sender.class.getName());

  /** Sendings of one request, refused ones included. */
  private static final int MAX_SENDINGS = 4;

  /** Part of the latency objective for which a request waits for a target. */
  private static final int WAIT_DIVISOR = 8;

  private final ExchangeTable exchanges;
  private final TargetPool pool;
  private final TargetPort port;
  private final RetryBudget budget;
  private final CallObserver observer;
  private final CallEnds ends;
  private boolean someWait;

  Sender(
      ExchangeTable exchanges,
      TargetPool pool,
      TargetPort port,
      RetryBudget budget,
      CallObserver observer,
      CallEnds ends) {
    this.exchanges = exchanges;
    this.pool = pool;
    this.port = port;
    this.budget = budget;
    this.observer = observer;
    this.ends = ends;
  }

  /** Sends a request that was not sent before, or lets it wait for a target. */
  void place(Exchange exchange, long nowMs) {
    Optional<Target> target = pool.choose(exchange, nowMs);
    if (target.isPresent()) {
      send(exchange, target.get(), Optional.empty(), nowMs);
      return;
    }
    long waitUntilMs = waitUntilMs(exchange);
    if (nowMs >= waitUntilMs) {
      ends.giveUp(exchange, RefusalReason.NO_TARGET, "no target of " + exchange.service(), nowMs);
      return;
    }
    exchange.setWaiting(true);
    someWait = true;
    exchanges.wakeAt(exchange, waitUntilMs);
  }

  private static long waitUntilMs(Exchange exchange) {
    return Math.min(
        exchange.deadlineMs(),
        exchange.arrivedMs() + exchange.route().objectiveMs() / WAIT_DIVISOR);
  }

  /** Tries the requests that wait after targets have changed. */
  void placeWaiting(long nowMs) {
    if (!someWait) {
      return;
    }
    someWait = false;
    for (Exchange exchange : exchanges.all()) {
      if (exchange.waiting()) {
        place(exchange, nowMs);
      }
    }
  }

  void send(Exchange exchange, Target target, Optional<CopiedMemory> memory, long nowMs) {
    Optional<Target> backup = pool.chooseBackup(exchange, target, nowMs);
    AttemptOrder order = exchange.start(target, memory, backup, nowMs);
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of("forwarding.sent")
            .with("request", exchange.call().requestId())
            .with("route", exchange.route().name())
            .with("sending", exchange.sendings())
            .with("target", target.info().id())
            .with("running", target.running())
            .with("tokens", target.work().tokens())
            .with("after", order.lastEventId().orElse("none"))
            .with("backup", order.backup().map(engine -> engine.id().name()).orElse("none"))
            .with("left_ms", order.waitMs())
            .toString());
    port.start(order);
  }

  /** Lets a generation go on from copied memory, which counts as the same run. */
  void goOn(Exchange exchange, Target target, CopiedMemory memory, long nowMs) {
    port.cancel(exchange.call().id(), exchange.attempt());
    exchange.release();
    send(exchange, target, Optional.of(memory), nowMs);
  }

  /** Whether a request that may have run may be sent to another target. */
  boolean mayRepeat(Exchange exchange, long nowMs) {
    Route route = exchange.route();
    return route.repeatable()
        && exchange.runs() < route.maxAttempts()
        && exchange.sendings() < MAX_SENDINGS
        && nowMs < exchange.deadlineMs();
  }

  /** Sends the request to another target if budget and targets allow it. */
  void again(Exchange exchange, RetryReason reason, RefusalReason otherwise, long nowMs) {
    port.cancel(exchange.call().id(), exchange.attempt());
    exchange.release();
    boolean possible = exchange.sendings() < MAX_SENDINGS && nowMs < exchange.deadlineMs();
    Optional<Target> target = possible ? pool.choose(exchange, nowMs) : Optional.empty();
    if (target.isEmpty() || !budget.take(exchange.service(), nowMs)) {
      ends.giveUp(exchange, otherwise, reason.wireName(), nowMs);
      return;
    }
    observer.retried(reason);
    send(exchange, target.get(), Optional.empty(), nowMs);
  }
}
