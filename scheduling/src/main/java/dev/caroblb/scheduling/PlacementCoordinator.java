package dev.caroblb.scheduling;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LogLine;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.TargetRun;
import dev.caroblb.pacing.TargetLimits;
import dev.caroblb.targets.PlacementNeed;
import dev.caroblb.targets.RemoteLoad;
import dev.caroblb.targets.ServiceUse;
import dev.caroblb.targets.Target;
import dev.caroblb.targets.TargetInfo;
import dev.caroblb.targets.TargetLoad;
import dev.caroblb.targets.TargetPool;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Chooses targets for the generations of all instances that use this control instance, and queues
 * requests while no engine has room. A central coordinator knows every placement immediately and
 * fills memory more evenly than instances that decide on load data some tenths of a second old. Its
 * state is rebuilt from the reports of the instances, so any control instance can take over.
 */
public final class PlacementCoordinator {
  /**
   * Interval in milliseconds between two remote load reports to an instance, which uses them to
   * choose targets itself when no control instance replies.
   */
  private static final long REPORT_INTERVAL_MS = 1_000;

  private static final System.Logger LOGGER =
      System.getLogger(PlacementCoordinator.class.getName());

  /** Interval in milliseconds at which all queued requests are checked against the forecast. */
  private static final long RECHECK_MS = 100;

  /**
   * Interval in milliseconds at which requests are placed without a report of freed load, because
   * limited engines get new permits.
   */
  private static final long PLACE_INTERVAL_MS = 50;

  /** Interval in milliseconds at which stale state is removed. */
  private static final long EXPIRE_INTERVAL_MS = 250;

  private final Outlet<PeerEnvelope<PeerMessage>> peers;
  private final TargetPool pool;
  private final PlacementLedger ledger;
  private final ProcessSequence grants;
  private final PlacementQueue queue;
  private final TargetLimits limits;
  private final LearnedRoomForecast forecast = new LearnedRoomForecast();
  private final RejectionRule rule = new RejectionRule(forecast);
  private final Rejections rejections;
  private final PlacementLog log = new PlacementLog();
  private final Map<String, ServiceUse> use = new HashMap<>();
  private final Map<InstanceId, Long> reportSentMs = new HashMap<>();
  private int servingInstances;
  private long permits;
  private long denials;
  private long lastLogMs = Long.MIN_VALUE / 2;
  private long lastExpireMs = Long.MIN_VALUE / 2;
  private long lastPlaceMs = Long.MIN_VALUE / 2;
  private long lastRecheckMs = Long.MIN_VALUE / 2;

  /**
   * @param peers receives the replies to the instances that request targets
   * @param random spreads the returns of rejected callers
   */
  public PlacementCoordinator(
      Outlet<PeerEnvelope<PeerMessage>> peers,
      TargetPool pool,
      PlacementLedger ledger,
      TargetLimits limits,
      ProcessSequence grants,
      RandomGenerator random) {
    this.peers = peers;
    this.pool = pool;
    this.ledger = ledger;
    this.limits = limits;
    this.grants = grants;
    queue = new PlacementQueue(pool);
    rejections = new Rejections(forecast, random);
  }

  /** Sets the number of instances known to serve callers. */
  public void setServingInstances(int instances) {
    servingInstances = instances;
  }

  /** Records the load of an instance and periodically reports the load of the others to it. */
  public void loadReported(InstanceId peer, PeerMessage.LoadReport report, long nowMs) {
    List<TargetLoad> released = ledger.reported(peer, report.lastGrant(), report.loads(), nowMs);
    expire(nowMs);
    forecast.observed(nowMs);
    released(peer, released, report.loads(), nowMs);
    if (!released.isEmpty() || nowMs - lastPlaceMs >= PLACE_INTERVAL_MS) {
      placeQueued(nowMs);
    }
    Long last = reportSentMs.get(peer);
    if (last != null && nowMs - last < REPORT_INTERVAL_MS) {
      return;
    }
    reportSentMs.put(peer, nowMs);
    logState(nowMs);
    // Instances that use another control instance share the retry budget as well.
    int instances = Math.max(servingInstances, ledger.instances().size());
    send(
        peer,
        new PeerMessage.RemoteLoadReport(
            instances, ledger.totalsWithout(peer), pool.speeds().all()));
  }

  private void released(
      InstanceId peer, List<TargetLoad> released, List<TargetLoad> loads, long nowMs) {
    if (released.isEmpty()) {
      return;
    }
    Map<TargetRun, Long> left = new HashMap<>();
    loads.forEach(load -> left.put(load.run(), load.requests()));
    for (TargetLoad load : released) {
      long leftRequests = left.getOrDefault(load.run(), 0L);
      pool.servingServiceOf(load.run())
          .ifPresentOrElse(
              service -> forecast.released(service, peer, load, leftRequests, nowMs),
              () -> forecast.lost(peer, load.run()));
    }
  }

  private void expire(long nowMs) {
    if (nowMs - lastExpireMs < EXPIRE_INTERVAL_MS) {
      return;
    }
    lastExpireMs = nowMs;
    ledger.expire(nowMs);
    Set<InstanceId> instances = Set.copyOf(ledger.instances());
    limits.setShare(instances.size(), servingInstances, nowMs);
    reportSentMs.keySet().retainAll(instances);
    queue.retainInstances(instances, nowMs - RemoteLoad.MAX_AGE_MS);
  }

  private void logState(long nowMs) {
    if (nowMs - lastLogMs < REPORT_INTERVAL_MS) {
      return;
    }
    lastLogMs = nowMs;
    limits.expire(nowMs);
    rejections.expire(nowMs);
    forecast.expire(Set.copyOf(ledger.instances()), nowMs);
    long inTime = queue.inTime();
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of("placement.state")
            .with("instances", ledger.instances().size())
            .with("requests", ledger.requests())
            .with("tokens", ledger.tokens())
            .with("room", pool.admittedTokens())
            .with("permits", permits)
            .with("permits_denied", denials)
            .with("waiting", queue.size())
            .with("in_time", inTime)
            .with("late", queue.size() - inTime)
            .with("rejected", rejections.count())
            .with("freed_tokens_per_s", forecast.freedTokensPerSecond(nowMs))
            .toString());
  }

  /**
   * Chooses a target immediately, queues the request until an engine has room, or rejects it if
   * that is expected too late.
   */
  public void placementRequested(
      InstanceId peer, PeerMessage.PlacementRequest request, long nowMs) {
    PlacementNeed need = request.need();
    queue.removeOfEarlierProcess(peer, request.ticket());
    if (need.purpose() == PlacementNeed.Purpose.MOVE) {
      placeMove(peer, request, nowMs);
      return;
    }
    if (need.purpose() == PlacementNeed.Purpose.PERMIT) {
      givePermit(peer, request, nowMs);
      return;
    }
    Optional<RejectedCallers.Rejection> earlier = rejections.earlier(need, nowMs);
    boolean early = earlier.filter(rejection -> rejection.early(nowMs)).isPresent();
    // Waiting is pointless if there is no target, or none that could ever have room.
    boolean mayWait = pool.anyUsable(need, nowMs) && pool.fitsIdleEngine(need);
    if (early && mayWait && !roomNow(need, nowMs)) {
      send(peer, rejections.rejectEarly(need, request.ticket(), earlier.orElseThrow(), nowMs));
      return;
    }
    QueuedRequest queued = queue.arrived(peer, request.ticket(), need, earlier, nowMs);
    if (queued.inTime(nowMs)) {
      forecast.requested(need.service(), need.priority(), need.tokens(), nowMs);
    }
    if (!mayWait || queue.isFull()) {
      queue.servedAtOnce(queued);
      rejections.accepted(need, nowMs);
      placeStart(queued, pool.choose(need, nowMs), nowMs);
      return;
    }
    queue.add(queued, nowMs);
    queue.placeArrived(
        queued, (each, target) -> placeStart(each, Optional.of(target), nowMs), nowMs);
    if (!queue.contains(queued)) {
      rejections.accepted(need, nowMs);
    } else {
      queueOrReject(queued, nowMs);
    }
  }

  /** Whether a request fits now and no other one waits for this room. */
  private boolean roomNow(PlacementNeed need, long nowMs) {
    return queue.of(need.service()).size() == 0
        && pool.chooseWithRoom(need, Set.of(), nowMs).isPresent();
  }

  private void queueOrReject(QueuedRequest queued, long nowMs) {
    String service = queued.need().service();
    Backlog ahead = queue.of(service).ahead(queued, nowMs);
    ServiceUse current = serviceUse(service, nowMs);
    RejectionRule.Verdict verdict = rule.decide(queued, ahead, current, false, nowMs);
    if (verdict.outcome() == RejectionRule.Outcome.REJECT) {
      queue.withdraw(queued);
      send(queued.instance(), rejections.reject(queued, verdict.expectedDelayMs(), nowMs));
      return;
    }
    if (verdict.outcome() == RejectionRule.Outcome.KEEP_LATE) {
      queue.replace(queued, queued.asLate(nowMs), nowMs);
    }
    log.queued(queued, verdict, ahead, current);
    rejections.accepted(queued.need(), nowMs);
    send(queued.instance(), new PeerMessage.PlacementQueued(queued.ticket()));
  }

  /** Use of a service since there was room again; a look at all targets per request is costly. */
  private ServiceUse serviceUse(String service, long nowMs) {
    return use.computeIfAbsent(service, name -> pool.use(name, nowMs));
  }

  /** Rejects queued requests that, by now, cannot start while a response is of use. */
  private void recheck(long nowMs) {
    if (queue.isEmpty() || nowMs - lastRecheckMs < RECHECK_MS) {
      return;
    }
    lastRecheckMs = nowMs;
    Map<QueuedRequest.Key, Double> delays = new HashMap<>();
    List<QueuedRequest> rejected =
        queue.recheck(
            (request, ahead) -> {
              ServiceUse current = serviceUse(request.need().service(), nowMs);
              RejectionRule.Verdict verdict = rule.decide(request, ahead, current, true, nowMs);
              delays.put(request.key(), verdict.expectedDelayMs());
              return switch (verdict.outcome()) {
                case KEEP -> Optional.of(request);
                case KEEP_LATE -> Optional.of(request.asLate(nowMs));
                case REJECT -> Optional.empty();
              };
            },
            nowMs);
    for (QueuedRequest request : rejected) {
      send(request.instance(), rejections.reject(request, delays.get(request.key()), nowMs));
    }
  }

  /** Checks queued requests again. */
  public void tick(long nowMs) {
    placeQueued(nowMs);
  }

  /** Time at which queued requests are to be checked again. */
  public long nextMs() {
    return queue.isEmpty() ? Long.MAX_VALUE : lastRecheckMs + RECHECK_MS;
  }

  private void placeMove(InstanceId peer, PeerMessage.PlacementRequest request, long nowMs) {
    Optional<Target> target =
        pool.chooseDestination(request.need(), TargetPool.ALL_MOVE_CANDIDATES, nowMs);
    long grant = grants.next();
    target.ifPresent(chosen -> grant(peer, grant, chosen, 0, request.need().tokens(), 0, nowMs));
    target.ifPresent(chosen -> pool.takePermit(chosen, nowMs));
    reply(peer, request.ticket(), grant, target, Optional.empty());
  }

  private void givePermit(InstanceId peer, PeerMessage.PlacementRequest request, long nowMs) {
    PlacementNeed need = request.need();
    Optional<Target> target = pool.chooseLimited(need, nowMs);
    target.ifPresent(chosen -> pool.takePermit(chosen, nowMs));
    permits += target.isPresent() ? 1 : 0;
    denials += target.isPresent() ? 0 : 1;
    if (target.isEmpty()) {
      limits.countDenied();
    }
    send(
        peer,
        new PeerMessage.PermitReply(
            request.ticket(),
            target.map(chosen -> chosen.info().id()),
            pool.permitWaitMs(need, nowMs)));
  }

  /** Removes a queued request that its instance cancelled. */
  public void placementCancelled(InstanceId peer, long ticket, long nowMs) {
    queue.remove(peer, ticket).ifPresent(request -> log.removed(request, nowMs));
  }

  /**
   * Assigns targets to queued requests, because engines may have room again, and checks the rest.
   */
  public void placeQueued(long nowMs) {
    lastPlaceMs = nowMs;
    use.clear();
    if (!queue.isEmpty()) {
      queue.place((request, target) -> placeStart(request, Optional.of(target), nowMs), nowMs);
    }
    recheck(nowMs);
  }

  /** Replies at once to the queued requests that no target may take any more. */
  public void replyUnservable(long nowMs) {
    queue.takeUnservable(nowMs).forEach(request -> placeStart(request, Optional.empty(), nowMs));
  }

  private void placeStart(QueuedRequest request, Optional<Target> target, long nowMs) {
    PlacementNeed need = request.need();
    Optional<Target> backup = target.flatMap(chosen -> pool.chooseBackup(need, chosen, nowMs));
    InstanceId peer = request.instance();
    long grant = grants.next();
    target.ifPresent(
        chosen -> grant(peer, grant, chosen, 1, need.tokens(), need.promptTokens(), nowMs));
    target.ifPresent(chosen -> pool.takePermit(chosen, nowMs));
    target.ifPresent(chosen -> log.placed(request, chosen, nowMs));
    target.ifPresent(
        chosen -> forecast.placed(need.service(), peer, chosen.info().run(), need.tokens(), nowMs));
    backup.ifPresent(engine -> grant(peer, grant, engine, 0, need.tokens(), 0, nowMs));
    reply(peer, request.ticket(), grant, target, backup);
  }

  private void grant(
      InstanceId peer,
      long grant,
      Target target,
      long requests,
      long tokens,
      long promptTokens,
      long nowMs) {
    TargetInfo info = target.info();
    ledger.addGrant(
        peer,
        grant,
        new TargetLoad(info.id(), info.incarnation(), requests, tokens, promptTokens),
        nowMs);
  }

  private void reply(
      InstanceId peer, long ticket, long grant, Optional<Target> target, Optional<Target> backup) {
    send(
        peer,
        new PeerMessage.PlacementReply(
            ticket,
            grant,
            target.map(chosen -> chosen.info().id()),
            backup.map(engine -> engine.info().id())));
  }

  private void send(InstanceId peer, PeerMessage message) {
    boolean unused = peers.offer(new PeerEnvelope<>(peer, message));
  }
}
