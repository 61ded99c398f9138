package dev.caroblb.forwarding;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.LogLine;
import dev.caroblb.core.Refusal;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.RetryReason;
import dev.caroblb.core.TargetId;
import dev.caroblb.forwarding.quarantine.PromptPart;
import dev.caroblb.routing.Route;
import dev.caroblb.scheduling.PeerMessage;
import dev.caroblb.targets.PlacementNeed;
import dev.caroblb.targets.Target;
import dev.caroblb.targets.TargetPool;
import java.util.Optional;

/** Sends requests to targets: initially, as retries, and to continue from copied memory. */
final class Dispatcher {
  private static final System.Logger LOGGER = System.getLogger(Dispatcher.class.getName());

  /** Number of sends of one request, including those that the target refused. */
  private static final int MAX_SENDS = 4;

  /**
   * Time in milliseconds after which a control instance is asked for a permit again that did not
   * reply, or does not know the limit yet.
   */
  private static final long ASK_AGAIN_MS = 100;

  /** Interval in milliseconds between two checks of a queued request. */
  private static final long RECHECK_MS = 500;

  private final ExchangeTable exchanges;
  private final FailureDomain domain;
  private final TargetPool pool;
  private final CoordinatorClient coordinator;
  private final TargetPort port;
  private final RetryBudget budget;
  private final CallObserver observer;
  private final CallFinisher finisher;
  private final DrainAdmission drain;
  private final PromptGuard guard;
  private final StartNeeds starts;
  private final UnservableRequests unservable;
  private final AttemptMeter meter;
  private boolean anyWaiting;

  Dispatcher(
      ExchangeTable exchanges,
      FailureDomain domain,
      TargetPool pool,
      CoordinatorClient coordinator,
      TargetPort port,
      RetryBudget budget,
      CallObserver observer,
      CallFinisher finisher,
      DrainAdmission drain,
      PromptGuard guard) {
    this.exchanges = exchanges;
    this.domain = domain;
    this.pool = pool;
    this.coordinator = coordinator;
    this.port = port;
    this.budget = budget;
    this.observer = observer;
    this.finisher = finisher;
    this.drain = drain;
    this.guard = guard;
    starts = new StartNeeds(domain, pool);
    unservable = new UnservableRequests(exchanges, pool, finisher);
    meter = new AttemptMeter(domain, pool, coordinator.observations(), observer);
  }

  AttemptMeter meter() {
    return meter;
  }

  /** Finds a target for a request. For generations, a control instance chooses it. */
  void dispatch(Exchange exchange, long nowMs) {
    if (refusedByDrain(exchange, nowMs) || unservable.refuse(exchange, nowMs)) {
      return;
    }
    if (!placedCentrally(exchange)) {
      placeHere(exchange, nowMs);
    } else if (!request(exchange, PlacementNeed.Purpose.START, nowMs)) {
      placeLocally(exchange, nowMs);
    }
  }

  /** Asks a control instance for a target; returns false if none is known. */
  private boolean request(Exchange exchange, PlacementNeed.Purpose purpose, long nowMs) {
    // A control instance does not know which targets failed requests of this instance.
    PlacementNeed need =
        exchange
            .placementNeed(purpose, domain, nowMs)
            .excluding(pool.excluded(exchange.service(), nowMs));
    Optional<Long> replyByMs = coordinator.requestPlacement(exchange, need, nowMs);
    replyByMs.ifPresent(ms -> exchanges.wakeAt(exchange, ms));
    return replyByMs.isPresent();
  }

  private static boolean placedCentrally(Exchange exchange) {
    return exchange.tokens() > 0 && !exchange.callerStream().begun();
  }

  /**
   * Places a request that this instance places itself. A limited target takes what it can before
   * others do, with a permit of a control instance.
   */
  private void placeHere(Exchange exchange, long nowMs) {
    PlacementNeed need = exchange.placementNeed(PlacementNeed.Purpose.PERMIT, domain, nowMs);
    boolean asked =
        pool.permitExpected(need, nowMs) && request(exchange, PlacementNeed.Purpose.PERMIT, nowMs);
    if (!asked) {
      placeLocally(exchange, nowMs);
    }
  }

  /** Sends a request to the limited target that it has a permit for, or to another one. */
  void permitReceived(Exchange exchange, PeerMessage.PermitReply reply, long nowMs) {
    exchange.clearPendingPlacement();
    Optional<Target> permitted = reply.target().flatMap(id -> usable(exchange, id, nowMs));
    if (permitted.isPresent()) {
      send(exchange, permitted.get(), Optional.empty(), nowMs);
      return;
    }
    if (reply.target().isEmpty()) {
      permitDenied(exchange, nowMs + reply.waitMs().orElse(ASK_AGAIN_MS), nowMs);
    }
    placeLocally(exchange, nowMs);
  }

  /** Sends nothing to the limited targets of the service until a time. */
  private void permitDenied(Exchange exchange, long untilMs, long nowMs) {
    PlacementNeed need = exchange.placementNeed(PlacementNeed.Purpose.PERMIT, domain, nowMs);
    pool.permitDenied(need, untilMs, nowMs);
  }

  /** Records that a control instance has queued the request until an engine has room. */
  void queued(PeerMessage.PlacementQueued reply, long nowMs) {
    Optional<Exchange> queued = coordinator.queued(reply.ticket(), nowMs).flatMap(exchanges::find);
    queued.ifPresent(exchange -> queued(exchange, nowMs));
  }

  private void queued(Exchange exchange, long nowMs) {
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of("forwarding.queued")
            .with("request", exchange.call().requestId())
            .with("ticket", exchange.pendingPlacement().map(PendingPlacement::ticket).orElse(0L))
            .toString());
    exchange.setQueued();
    exchanges.wakeAt(exchange, Math.min(nowMs + RECHECK_MS, WaitLimits.queuedUntilMs(exchange)));
  }

  /** Sends a request to the target that a control instance chose, if it still accepts requests. */
  void placementReceived(
      Exchange exchange, Optional<TargetId> target, Optional<TargetId> backup, long nowMs) {
    exchange.clearPendingPlacement();
    Optional<Target> chosen = target.flatMap(id -> usable(exchange, id, nowMs));
    if (chosen.isEmpty()) {
      placeLocally(exchange, nowMs);
      return;
    }
    send(
        exchange,
        chosen.get(),
        Optional.empty(),
        backup.flatMap(id -> pool.usable(id, backupNeed(exchange, chosen.get(), nowMs), nowMs)),
        nowMs);
  }

  /** The target that another instance chose, if it is still what the request needs. */
  private Optional<Target> usable(Exchange exchange, TargetId id, long nowMs) {
    PlacementNeed need = starts.need(exchange, nowMs);
    return pool.usable(id, need, nowMs).filter(target -> !need.excluded().contains(id));
  }

  private PlacementNeed backupNeed(Exchange exchange, Target primary, long nowMs) {
    return starts.need(exchange, nowMs).at(primary.info().softwareVersion());
  }

  /** Handles a timer of a request that has no target yet. */
  void timerFired(Exchange exchange, long nowMs) {
    if (refusedByDrain(exchange, nowMs)) {
      return;
    }
    if (coordinator.isQueued(exchange, nowMs)) {
      if (nowMs >= WaitLimits.queuedUntilMs(exchange)) {
        finisher.fail(exchange, RefusalReason.BACKLOG_FULL, "no room at any engine", nowMs);
      } else {
        exchanges.wakeAt(
            exchange, Math.min(nowMs + RECHECK_MS, WaitLimits.queuedUntilMs(exchange)));
      }
      return;
    }
    Optional<PendingPlacement> pending = exchange.pendingPlacement();
    if (pending.isEmpty() && !placedCentrally(exchange)) {
      placeHere(exchange, nowMs);
      return;
    }
    if (pending.isEmpty()) {
      placeLocally(exchange, nowMs);
      return;
    }
    // An exchange has several timers; one of an earlier wait may fire before the reply is due.
    if (pending.get().awaitsFirstReply(nowMs)) {
      return;
    }
    log("forwarding.placement_unanswered", exchange);
    if (pending.get().queued()) {
      // The control instance that queued the request is no longer in use; try the current one.
      dispatch(exchange, nowMs);
      return;
    }
    coordinator.timedOut(exchange);
    if (pending.get().purpose() == PlacementNeed.Purpose.PERMIT) {
      permitDenied(exchange, nowMs + ASK_AGAIN_MS, nowMs);
    }
    placeLocally(exchange, nowMs);
  }

  /** Refuses the requests without a target that cannot end before the drain limit. */
  void drainStarted(long nowMs) {
    for (Exchange exchange : exchanges.all()) {
      if (exchange.target().isEmpty()) {
        refusedByDrain(exchange, nowMs);
      }
    }
  }

  /** Refuses a request whose response has not begun if it cannot end before the drain limit. */
  private boolean refusedByDrain(Exchange exchange, long nowMs) {
    if (exchange.callerStream().begun() || drain.allows(exchange)) {
      return false;
    }
    finisher.fail(exchange, RefusalReason.DRAINING, "cannot end before the drain limit", nowMs);
    return true;
  }

  private static void log(String event, Exchange exchange) {
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of(event).with("request", exchange.call().requestId()).toString());
  }

  /** Sends a request to a target chosen by this instance, or lets it wait for a target. */
  void placeLocally(Exchange exchange, long nowMs) {
    if (unservable.refuse(exchange, nowMs)) {
      return;
    }
    PlacementNeed need = starts.need(exchange, nowMs);
    Optional<Target> target = pool.choose(need, nowMs);
    if (target.isPresent()) {
      pool.takePermit(target.get(), nowMs);
      send(exchange, target.get(), Optional.empty(), nowMs);
      return;
    }
    long waitUntilMs = WaitLimits.waitUntilMs(exchange);
    Optional<Long> acceptingMs = pool.nextAcceptingMs(need, nowMs);
    if (nowMs >= waitUntilMs || acceptingMs.filter(ms -> ms > waitUntilMs).isPresent()) {
      failWithoutTarget(
          exchange,
          RefusalReason.NO_TARGET,
          "no available target of service " + exchange.service(),
          nowMs);
      return;
    }
    exchange.setWaiting(true);
    anyWaiting = true;
    exchanges.wakeAt(exchange, acceptingMs.orElse(waitUntilMs));
  }

  /**
   * Refuses a request for which no target is left. If targets have said when they accept requests
   * again, the caller is told that time.
   */
  private void failWithoutTarget(
      Exchange exchange, RefusalReason reason, String cause, long nowMs) {
    PlacementNeed need = starts.need(exchange, nowMs);
    long retryAfterMs =
        pool.nextAcceptingMs(need.withoutExclusions(), nowMs)
            .map(acceptingMs -> acceptingMs - nowMs)
            .orElse(RetryAfter.delayMs(reason));
    finisher.fail(exchange, Refusal.of(reason, cause).retryAfter(retryAfterMs), cause, nowMs);
  }

  /** Retries the placement of waiting requests after a change of the targets. */
  void placeWaiting(long nowMs) {
    if (!anyWaiting) {
      return;
    }
    anyWaiting = false;
    for (Exchange exchange : exchanges.all()) {
      if (exchange.waiting()) {
        placeLocally(exchange, nowMs);
      }
    }
  }

  /** Ends the requests without a target whose service has only evacuated targets. */
  void refuseUnservable(long nowMs) {
    unservable.refuseAll(nowMs);
  }

  /** Ends the requests that wait for a target and whose prompt has been quarantined meanwhile. */
  void endQuarantined(long nowMs) {
    if (!guard.isActive()) {
      return;
    }
    for (Exchange exchange : exchanges.all()) {
      Optional<Refusal> blocking = guard.blocking(exchange.call(), nowMs);
      if (exchange.target().isEmpty() && blocking.isPresent()) {
        finisher.fail(exchange, blocking.get(), nowMs);
      }
    }
  }

  void send(Exchange exchange, Target target, Optional<CopiedMemory> memory, long nowMs) {
    PlacementNeed need = starts.need(exchange, nowMs);
    Optional<Target> backup = pool.chooseBackup(need, target, nowMs);
    send(exchange, target, memory, backup, nowMs);
  }

  private void send(
      Exchange exchange,
      Target target,
      Optional<CopiedMemory> memory,
      Optional<Target> backup,
      long nowMs) {
    if (memory.isEmpty() && refusedByDrain(exchange, nowMs)) {
      return;
    }
    Optional<Refusal> blocking = guard.blocking(exchange.call(), nowMs);
    if (blocking.isPresent()) {
      finisher.fail(exchange, blocking.get(), nowMs);
      return;
    }
    coordinator.cancelPlacement(exchange);
    AttemptOrder order = exchange.startAttempt(target, memory, backup, nowMs);
    meter.sent(exchange, memory.isEmpty(), nowMs);
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of("forwarding.sent")
            .with("request", exchange.call().requestId())
            .with("route", exchange.route().name())
            .with("sending", exchange.sends())
            .with("target", target.info().id())
            .with("running", target.running())
            .with("tokens", target.load().tokens())
            .with("after", order.lastEventId().orElse("none"))
            .with("backup", order.backup().map(engine -> engine.id().name()).orElse("none"))
            .with("left_ms", order.timeoutMs())
            .with("drain_left_ms", drain.logValue(nowMs))
            .with("shared_parts", PromptPart.toLogValue(exchange.call().sharedPromptParts()))
            .toString());
    port.start(order);
  }

  /** Continues a generation from copied memory, which counts as the same run. */
  void continueFromCopy(Exchange exchange, Target target, CopiedMemory memory, long nowMs) {
    port.cancel(exchange.call().id(), exchange.attempt());
    exchange.endAttempt();
    send(exchange, target, Optional.of(memory), nowMs);
  }

  /** Whether a request that may already have run may be sent to another target. */
  boolean mayRetry(Exchange exchange, long nowMs) {
    Route route = exchange.route();
    return route.repeatable()
        && exchange.possibleRuns() < route.maxAttempts()
        && exchange.sends() < MAX_SENDS
        && nowMs < exchange.deadlineMs();
  }

  /**
   * Sends the request to another target if the retry budget allows it and a target is available;
   * ends it with the reason {@code otherwise} if not.
   */
  void retry(Exchange exchange, RetryReason reason, RefusalReason otherwise, long nowMs) {
    port.cancel(exchange.call().id(), exchange.attempt());
    exchange.endAttempt();
    if (refusedByDrain(exchange, nowMs)) {
      return;
    }
    PlacementNeed need = starts.need(exchange, nowMs);
    boolean possible =
        exchange.sends() < MAX_SENDS
            && nowMs < exchange.deadlineMs()
            && guard.blocking(exchange.call(), nowMs).isEmpty()
            && pool.anyUsable(need, nowMs);
    if (!possible || !budget.tryRetry(exchange.service(), nowMs)) {
      failWithoutTarget(exchange, otherwise, reason.wireName(), nowMs);
      return;
    }
    observer.retried(reason);
    dispatch(exchange, nowMs);
  }
}
