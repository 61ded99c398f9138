package dev.caroblb.forwarding;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.LogLine;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.RetryReason;
import dev.caroblb.core.TargetId;
import dev.caroblb.routing.Route;
import java.util.Optional;

/** Sends requests to targets: first, again after a failure, and from copied memory. */
final class Sender {
  private static final System.Logger LOGGER = System.getLogger(Sender.class.getName());

  /** Sendings of one request, refused ones included. */
  private static final int MAX_SENDINGS = 4;

  /** Part of the latency objective for which a request waits for a target. */
  private static final int WAIT_DIVISOR = 8;

  /**
   * Latency objectives for which a request waits for room at an engine. A late answer is worth
   * little to its caller, who leaves after four objectives without an event.
   */
  private static final int HELD_OBJECTIVES = 3;

  /** Pause in milliseconds between two looks at a request that waits for room. */
  private static final long LOOK_MS = 500;

  private final ExchangeTable exchanges;
  private final FailureDomain domain;
  private final TargetPool pool;
  private final CoordinatorLink coordinator;
  private final TargetPort port;
  private final RetryBudget budget;
  private final CallObserver observer;
  private final CallEnds ends;
  private boolean someWait;

  Sender(
      ExchangeTable exchanges,
      FailureDomain domain,
      TargetPool pool,
      CoordinatorLink coordinator,
      TargetPort port,
      RetryBudget budget,
      CallObserver observer,
      CallEnds ends) {
    this.exchanges = exchanges;
    this.domain = domain;
    this.pool = pool;
    this.coordinator = coordinator;
    this.port = port;
    this.budget = budget;
    this.observer = observer;
    this.ends = ends;
  }

  /** Finds a target for a request: those for all generations are chosen in one place. */
  void first(Exchange exchange, long nowMs) {
    // A control instance does not see which targets fail the requests of this one.
    PlacementNeed need =
        exchange
            .need(PlacementNeed.Purpose.START, domain, nowMs)
            .without(pool.penalized(exchange.service(), nowMs));
    Optional<Long> answerByMs =
        need.tokens() > 0 && !exchange.begun()
            ? coordinator.ask(exchange, need, nowMs)
            : Optional.empty();
    if (answerByMs.isEmpty()) {
      place(exchange, nowMs);
      return;
    }
    exchanges.wakeAt(exchange, answerByMs.get());
  }

  /** The request waits for room at an engine. */
  void queued(Exchange exchange, long nowMs) {
    log("forwarding.queued", exchange);
    exchange.setQueued();
    exchanges.wakeAt(exchange, Math.min(nowMs + LOOK_MS, heldUntilMs(exchange)));
  }

  private static long heldUntilMs(Exchange exchange) {
    return Math.min(
        exchange.deadlineMs(),
        exchange.arrivedMs() + HELD_OBJECTIVES * exchange.route().objectiveMs());
  }

  /** Takes the targets that were chosen for a request. */
  void given(Exchange exchange, Optional<TargetId> target, Optional<TargetId> backup, long nowMs) {
    exchange.answered();
    Optional<Target> chosen = target.flatMap(pool::usable);
    if (chosen.isEmpty()) {
      place(exchange, nowMs);
      return;
    }
    send(exchange, chosen.get(), Optional.empty(), backup.flatMap(pool::usable), nowMs);
  }

  /** Looks after a request that has no target yet. */
  void due(Exchange exchange, long nowMs) {
    if (coordinator.waits(exchange, nowMs)) {
      if (nowMs >= heldUntilMs(exchange)) {
        ends.giveUp(exchange, RefusalReason.BACKLOG_FULL, "no room at any engine", nowMs);
      } else {
        exchanges.wakeAt(exchange, Math.min(nowMs + LOOK_MS, heldUntilMs(exchange)));
      }
      return;
    }
    Optional<Question> question = exchange.question();
    if (question.isEmpty()) {
      place(exchange, nowMs);
      return;
    }
    // An exchange has several timers; one of an earlier wait may be due before the answer is.
    if (question.get().open(nowMs)) {
      return;
    }
    log("forwarding.placement_unanswered", exchange);
    if (question.get().queued()) {
      // It waits at a control instance that is not asked any more; the present one may answer.
      first(exchange, nowMs);
      return;
    }
    coordinator.unanswered(exchange);
    place(exchange, nowMs);
  }

  private static void log(String event, Exchange exchange) {
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of(event).with("request", exchange.call().requestId()).toString());
  }

  /** Sends a request that was not sent before, or lets it wait for a target. */
  void place(Exchange exchange, long nowMs) {
    PlacementNeed need = exchange.need(PlacementNeed.Purpose.START, domain, nowMs);
    Optional<Target> target = pool.choose(need, nowMs);
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
    PlacementNeed need = exchange.need(PlacementNeed.Purpose.START, domain, nowMs);
    Optional<Target> backup = pool.chooseBackup(need, target, nowMs);
    send(exchange, target, memory, backup, nowMs);
  }

  private void send(
      Exchange exchange,
      Target target,
      Optional<CopiedMemory> memory,
      Optional<Target> backup,
      long nowMs) {
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
    PlacementNeed need = exchange.need(PlacementNeed.Purpose.START, domain, nowMs);
    boolean possible =
        exchange.sendings() < MAX_SENDINGS
            && nowMs < exchange.deadlineMs()
            && pool.choose(need, nowMs).isPresent();
    if (!possible || !budget.take(exchange.service(), nowMs)) {
      ends.giveUp(exchange, otherwise, reason.wireName(), nowMs);
      return;
    }
    observer.retried(reason);
    first(exchange, nowMs);
  }
}
