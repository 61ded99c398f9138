package dev.caroblb.forwarding;

import dev.caroblb.core.DutyHandler;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LogLine;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Refusal;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.TargetId;
import dev.caroblb.core.TargetRun;
import dev.caroblb.forwarding.quarantine.PromptQuarantine;
import dev.caroblb.pacing.PacingGauges;
import dev.caroblb.routing.Route;
import dev.caroblb.routing.RoutingTable;
import dev.caroblb.routing.Workspace;
import dev.caroblb.scheduling.PeerMessage.PermitReply;
import dev.caroblb.scheduling.PeerMessage.PlacementQueued;
import dev.caroblb.scheduling.PeerMessage.PlacementRejected;
import dev.caroblb.scheduling.PeerMessage.PlacementReply;
import dev.caroblb.scheduling.PeerMessage.RemoteLoadReport;
import dev.caroblb.scheduling.ProcessSequence;
import dev.caroblb.targets.PlacementNeed;
import dev.caroblb.targets.ReportedLoad;
import dev.caroblb.targets.Target;
import dev.caroblb.targets.TargetInfo;
import dev.caroblb.targets.TargetPool;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Handles each request from its arrival to its final response. */
public final class ForwardingHandler implements DutyHandler<ForwardingMessage> {
  private static final System.Logger LOGGER = System.getLogger(ForwardingHandler.class.getName());

  private final ForwardingSettings settings;
  private final Outlet<TargetRun> leaving;
  private final RandomGenerator random;
  private final ExchangeTable exchanges = new ExchangeTable();
  private final DrainAdmission drain = new DrainAdmission();
  private final TargetPacing pacing;
  private final TargetPool pool;
  private final RetryBudget budget;
  private final CallFinisher finisher;
  private final Dispatcher dispatcher;
  private final ResponseRelay responses;
  private final TakeUps takeUps;
  private final GenerationMover mover;
  private final ReportedLoad remoteLoad = new ReportedLoad();
  private final CoordinatorClient coordinator;
  private final EvidenceExchange evidence;
  private final PromptGuard guard;
  private Optional<RoutingTable> table = Optional.empty();
  private volatile boolean refuseNew;

  public ForwardingHandler(
      ForwardingSettings settings,
      TargetPort port,
      ForwardingOutlets outlets,
      CallObserver observer,
      RandomGenerator random) {
    this.settings = settings;
    leaving = outlets.leaving();
    this.random = random;
    pacing = new TargetPacing(outlets.pacing(), random);
    coordinator = new CoordinatorClient(outlets.scheduling(), new ProcessSequence(random));
    pool = new TargetPool(random, List.of(remoteLoad), pacing.limits(), coordinator.speeds());
    budget =
        new RetryBudget(settings.retryRatio(), settings.retryWindowMs(), settings.retrySlack());
    finisher = new CallFinisher(exchanges, port, observer, coordinator, drain);
    PromptQuarantine quarantine = new PromptQuarantine();
    evidence = new EvidenceExchange(outlets.evidence(), quarantine);
    guard = new PromptGuard(quarantine, evidence);
    dispatcher =
        new Dispatcher(
            exchanges,
            settings.domain(),
            pool,
            coordinator,
            port,
            budget,
            observer,
            finisher,
            drain,
            guard);
    takeUps = new TakeUps(exchanges, pool, finisher, outlets.resumption());
    responses =
        new ResponseRelay(
            exchanges,
            settings.maxResponseBytes(),
            port,
            observer,
            dispatcher,
            finisher,
            guard,
            takeUps);
    mover = new GenerationMover(exchanges, pool, coordinator, port, dispatcher, responses, guard);
  }

  @Override
  public void handle(ForwardingMessage message, long nowMs) {
    if (changesLoad(message)) {
      coordinator.reportSoon();
    }
    if (message instanceof ForwardingMessage.AttemptEvent event) {
      exchanges
          .find(event.call(), event.attempt())
          .ifPresent(exchange -> attemptEvent(exchange, event, nowMs));
    } else if (message instanceof ForwardingMessage.RequestArrived arrived) {
      arrived(arrived.call(), nowMs);
    } else if (message instanceof ForwardingMessage.CallerGone gone) {
      exchanges.find(gone.call()).ifPresent(exchange -> finisher.callerGone(exchange, nowMs));
    } else if (message instanceof ForwardingMessage.CallerReady ready) {
      exchanges.find(ready.call()).ifPresent(exchange -> responses.callerReady(exchange, nowMs));
    } else if (message instanceof ForwardingMessage.FromPeer fromPeer) {
      fromPeer(fromPeer.received().peer(), fromPeer.received().message(), nowMs);
    } else if (message instanceof ForwardingMessage.FromScheduler fromScheduler) {
      fromScheduler(fromScheduler.received().peer(), fromScheduler.received().message(), nowMs);
    } else if (message instanceof ForwardingMessage.FromResumption fromPeer) {
      takeUps
          .received(fromPeer.received().peer(), fromPeer.received().message(), nowMs)
          .forEach(exchange -> dispatcher.dispatch(exchange, nowMs));
    } else if (message instanceof ForwardingMessage.LimitsFromPeer fromPeer) {
      pacing.fromPeer(fromPeer.received().peer(), fromPeer.received().message(), nowMs);
    } else {
      stateChanged(message, nowMs);
      dispatcher.placeWaiting(nowMs);
    }
  }

  /**
   * Whether a message may change the reported load. Response parts, most of the messages, do not.
   */
  private static boolean changesLoad(ForwardingMessage message) {
    return !(message instanceof ForwardingMessage.FromPeer
        || message instanceof ForwardingMessage.FromScheduler
        || message instanceof ForwardingMessage.FromResumption
        || message instanceof ForwardingMessage.LimitsFromPeer
        || message instanceof ForwardingMessage.Body
        || message instanceof ForwardingMessage.CallerReady
        || message instanceof ForwardingMessage.TargetAvailable);
  }

  private void attemptEvent(Exchange exchange, ForwardingMessage.AttemptEvent message, long nowMs) {
    if (message instanceof ForwardingMessage.Failed
        || message instanceof ForwardingMessage.Malformed) {
      pacing.failed(exchange);
    }
    if (message instanceof ForwardingMessage.Body body) {
      responses.body(exchange, body.part(), nowMs);
      mover.moveIfLeaving(exchange, table, nowMs);
    } else if (message instanceof ForwardingMessage.Head head) {
      pacing.head(exchange, head.head(), nowMs);
      noticeReceived(exchange, head.head().notice(), nowMs);
      responses.head(exchange, head.head(), nowMs);
    } else if (message instanceof ForwardingMessage.Ended) {
      boolean incomplete = exchange.stopOrdered() || exchange.incompleteStream();
      if (incomplete) {
        pacing.failed(exchange);
        connectionBroken(exchange, nowMs);
      }
      if (!incomplete || !mover.sourceLost(exchange, nowMs)) {
        responses.ended(exchange, nowMs);
      }
    } else if (message instanceof ForwardingMessage.Failed failed) {
      if (failed.sent()) {
        connectionBroken(exchange, nowMs);
      }
      if (failed.sent() && mover.sourceLost(exchange, nowMs)) {
        return;
      }
      responses.attemptFailed(exchange, failed.sent(), failed.cause(), nowMs);
    } else if (message instanceof ForwardingMessage.Malformed malformed) {
      // No evidence against the request: its target runs.
      if (!mover.sourceLost(exchange, nowMs)) {
        responses.targetFailed(exchange, malformed.cause(), nowMs);
      }
    } else if (message instanceof ForwardingMessage.CopyEnded ended) {
      mover.copyEnded(exchange, ended.finalCopy(), ended.outcome(), nowMs);
    }
  }

  /** Applies what a target says about itself before its response is handled. */
  private void noticeReceived(Exchange exchange, TargetNotice notice, long nowMs) {
    Optional<Target> target = exchange.target();
    if (target.isEmpty()) {
      return;
    }
    TargetInfo info = target.get().info();
    if (notice.rejectsForMs().isPresent()) {
      long rejectsForMs = notice.rejectsForMs().get();
      target.get().rejectsUntil(nowMs + rejectsForMs);
      LOGGER.log(
          System.Logger.Level.INFO,
          LogLine.of("target.rejecting")
              .with("target", info.id())
              .with("for_ms", rejectsForMs)
              .toString());
    }
    if (notice.leaving() && targetLeaving(info.id(), info.incarnation(), nowMs)) {
      LOGGER.log(
          System.Logger.Level.INFO,
          LogLine.of("target.leaving")
              .with("target", info.id())
              .with("source", "response")
              .toString());
      boolean unused = leaving.offer(info.run());
    }
  }

  /** Marks a target as leaving and moves its generations; returns false if that was known. */
  private boolean targetLeaving(TargetId id, long incarnation, long nowMs) {
    Optional<Target> target = pool.leaving(id, incarnation, nowMs);
    target.ifPresent(engine -> mover.moveAway(engine, table, nowMs));
    return target.isPresent();
  }

  private void connectionBroken(Exchange exchange, long nowMs) {
    exchange.target().ifPresent(target -> target.connectionLost(nowMs));
    guard.connectionBroken(exchange, nowMs);
    dispatcher.endQuarantined(nowMs);
  }

  private void fromPeer(InstanceId peer, PeerMessage message, long nowMs) {
    if (message instanceof PeerMessage.EvidenceReport report) {
      evidence.reported(peer, report.evidence(), nowMs);
    } else if (message instanceof PeerMessage.EvidenceAnnouncement announcement
        && evidence.received(announcement.evidence(), nowMs)) {
      dispatcher.endQuarantined(nowMs);
    }
  }

  private void fromScheduler(
      InstanceId peer, dev.caroblb.scheduling.PeerMessage message, long nowMs) {
    if (message instanceof PlacementQueued queued) {
      dispatcher.queued(queued, nowMs);
    } else if (message instanceof PlacementRejected rejected) {
      finisher.rejected(rejected, nowMs);
    } else if (message instanceof PlacementReply reply) {
      coordinator
          .replied(reply, nowMs)
          .flatMap(exchanges::find)
          .ifPresent(exchange -> placementReplied(exchange, reply, nowMs));
    } else if (message instanceof RemoteLoadReport report) {
      coordinator.remoteLoadReported(peer, nowMs);
      coordinator.speeds().replace(report.speeds(), nowMs);
      budget.setInstances(report.instances());
      pool.setInstances(report.instances());
      pacing.remoteLoadReported(report.instances(), nowMs);
      remoteLoad.replace(report.loads(), nowMs);
    } else if (message instanceof PermitReply reply) {
      pacing.permitReplied(reply, nowMs);
      coordinator
          .replied(reply, nowMs)
          .flatMap(exchanges::find)
          .filter(exchange -> exchange.awaitsReply(reply.ticket()))
          .ifPresent(exchange -> dispatcher.permitReceived(exchange, reply, nowMs));
    }
  }

  private void placementReplied(Exchange exchange, PlacementReply reply, long nowMs) {
    Optional<PendingPlacement> pending =
        exchange.pendingPlacement().filter(request -> request.ticket() == reply.ticket());
    if (pending.isEmpty()) {
      return;
    }
    if (pending.get().purpose() == PlacementNeed.Purpose.MOVE) {
      mover.destinationChosen(exchange, reply.target(), nowMs);
    } else {
      dispatcher.placementReceived(exchange, reply.target(), reply.backup(), nowMs);
    }
  }

  private void stateChanged(ForwardingMessage message, long nowMs) {
    if (message instanceof ForwardingMessage.TableInstalled installed) {
      table = Optional.of(installed.table());
      pool.setEngineLimits(installed.table().engines());
      pacing.setTable(installed.table());
    } else if (message instanceof ForwardingMessage.TargetAvailable available) {
      pool.available(available.target());
      pool.heard(available.target().run(), nowMs - available.warmUp().ageMs());
      pacing.available(available, nowMs);
      guard.heartbeatReceived(available.target(), nowMs);
    } else if (message instanceof ForwardingMessage.TargetLeaving announced) {
      boolean unused = targetLeaving(announced.target(), announced.incarnation(), nowMs);
    } else if (message instanceof ForwardingMessage.TargetGone gone) {
      pool.gone(gone.target(), gone.incarnation())
          .ifPresent(target -> mover.watchSilence(target, nowMs));
    } else if (message instanceof ForwardingMessage.EvacuationsChanged changed) {
      pool.setEvacuated(changed.domains(), nowMs);
      dispatcher.refuseUnservable(nowMs);
    } else if (message instanceof ForwardingMessage.ControlInstancesChanged changed) {
      coordinator.setControlInstances(changed.controlInstances());
      pacing.setControlInstances(changed.controlInstances());
      evidence.setControlInstances(changed.controlInstances());
      takeUps.setControlInstances(changed.controlInstances());
    } else if (message instanceof ForwardingMessage.DrainStarted started) {
      drain.setLimit(started.limitAtMs());
      dispatcher.drainStarted(nowMs);
    } else if (message instanceof ForwardingMessage.RefuseNew) {
      refuseNew = true;
    } else if (message instanceof ForwardingMessage.AbortRunning) {
      List<Exchange> running = exchanges.all();
      LOGGER.log(
          System.Logger.Level.INFO,
          LogLine.of("forwarding.aborted")
              .with("running", running.size())
              .with("streaming", running.stream().filter(Exchange::streaming).count())
              .toString());
      for (Exchange exchange : running) {
        responses.endAtDrainLimit(exchange, nowMs);
      }
    }
  }

  /** Numbers about paced targets; may be read from any thread. */
  public PacingGauges pacingGauges() {
    return pacing.limits().gauges();
  }

  /** Number of running requests; may be called from any thread. */
  public int running() {
    return exchanges.size();
  }

  /**
   * Whether no request runs and none that arrived before {@link ForwardingMessage.RefuseNew} is
   * still to be handled; may be called from any thread.
   */
  public boolean drained() {
    return refuseNew && exchanges.size() == 0;
  }

  private void arrived(ForwardCall call, long nowMs) {
    long number = table.map(RoutingTable::number).orElse(0L);
    Optional<Route> route = table.flatMap(t -> t.match(call.host(), call.path()));
    boolean full = exchanges.size() >= settings.maxCalls();
    Optional<RefusalReason> refusal = CallAdmission.refusal(call, table, route, refuseNew, full);
    if (refusal.isPresent()) {
      finisher.refuse(call, refusal.get(), number, nowMs);
      return;
    }
    Optional<Refusal> blocking = guard.blocking(call, nowMs);
    if (blocking.isPresent()) {
      finisher.refuse(call, blocking.get(), number, nowMs);
      return;
    }
    Optional<Workspace> workspace = CallAdmission.workspace(call, table);
    int priority = workspace.flatMap(Workspace::priority).orElse(route.get().priority());
    String service = route.get().chooseService(random);
    Exchange exchange =
        new Exchange(call, route.get(), service, workspace.map(Workspace::name), priority, nowMs);
    exchanges.add(exchange);
    budget.recordRequest(service, nowMs);
    if (takeUps.ready(exchange, nowMs)) {
      dispatcher.dispatch(exchange, nowMs);
    }
  }

  @Override
  public void tick(long nowMs) {
    for (Exchange exchange : exchanges.takeDue(nowMs)) {
      if (nowMs >= exchange.deadlineMs()) {
        timedOut(exchange, nowMs);
      } else if (exchange.target().isPresent()) {
        mover.timerFired(exchange, nowMs);
      } else if (!takeUps.timedOut(exchange, nowMs)) {
        dispatcher.timerFired(exchange, nowMs);
        coordinator.reportSoon();
      }
    }
    if (nowMs >= coordinator.nextMs()) {
      coordinator.tick(pool.ownLoads(), nowMs);
    }
    pacing.tick(coordinator.inUse(), nowMs);
    if (nowMs >= evidence.nextMs()) {
      evidence.tick(nowMs);
    }
  }

  private void timedOut(Exchange exchange, long nowMs) {
    if (exchange.head().isEmpty()) {
      pacing.failed(exchange);
    }
    RefusalReason reason =
        exchange.possibleRuns() > 0 ? RefusalReason.DEADLINE_AFTER_START : RefusalReason.NO_TARGET;
    finisher.fail(exchange, reason, "timeout expired", nowMs);
  }

  @Override
  public long nextTickMs() {
    long ownMs = Math.min(exchanges.nextDueMs(), coordinator.nextMs());
    return Math.min(ownMs, Math.min(evidence.nextMs(), pacing.nextMs()));
  }
}
