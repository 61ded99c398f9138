package dev.caroblb.scheduling;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LogLine;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.pacing.TargetLimits;
import dev.caroblb.targets.PlacementNeed;
import dev.caroblb.targets.RemoteLoad;
import dev.caroblb.targets.Target;
import dev.caroblb.targets.TargetInfo;
import dev.caroblb.targets.TargetLoad;
import dev.caroblb.targets.TargetPool;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

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

  private final Outlet<PeerEnvelope<PeerMessage>> peers;
  private final TargetPool pool;
  private final PlacementLedger ledger;
  private final ProcessSequence grants;
  private final PlacementQueue queue;
  private final TargetLimits limits;
  private final Map<InstanceId, Long> reportSentMs = new HashMap<>();
  private int servingInstances;
  private long permits;
  private long denials;
  private long lastLogMs = Long.MIN_VALUE / 2;

  public PlacementCoordinator(
      Outlet<PeerEnvelope<PeerMessage>> peers,
      TargetPool pool,
      PlacementLedger ledger,
      TargetLimits limits,
      ProcessSequence grants) {
    this.peers = peers;
    this.pool = pool;
    this.ledger = ledger;
    this.limits = limits;
    this.grants = grants;
    queue = new PlacementQueue(pool);
  }

  /** Sets the number of instances known to serve callers. */
  public void setServingInstances(int instances) {
    servingInstances = instances;
  }

  /** Records the load of an instance and periodically reports the load of the others to it. */
  public void loadReported(InstanceId peer, PeerMessage.LoadReport report, long nowMs) {
    ledger.expire(nowMs);
    ledger.reported(peer, report.lastGrant(), report.loads(), nowMs);
    limits.setShare(ledger.instances().size(), servingInstances);
    reportSentMs.keySet().retainAll(ledger.instances());
    queue.retainInstances(ledger.instances(), nowMs - RemoteLoad.MAX_AGE_MS);
    placeQueued(nowMs);
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

  private void logState(long nowMs) {
    if (nowMs - lastLogMs < REPORT_INTERVAL_MS) {
      return;
    }
    lastLogMs = nowMs;
    limits.expire(nowMs);
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
            .with("in_time", queue.inTime(nowMs))
            .toString());
  }

  /** Chooses a target immediately, or queues the request until an engine has room. */
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
    PlacementQueue.QueuedRequest queued =
        new PlacementQueue.QueuedRequest(peer, request.ticket(), need, nowMs);
    Optional<Target> fallback = pool.choose(need, nowMs);
    // Waiting is pointless if there is no target, or none that could ever have room.
    if (!pool.anyUsable(need, nowMs) || !pool.fitsIdleEngine(need) || !queue.add(queued)) {
      placeStart(queued, fallback, nowMs);
      return;
    }
    placeQueued(nowMs);
    if (queue.contains(queued)) {
      send(peer, new PeerMessage.PlacementQueued(request.ticket()));
    }
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
    send(
        peer,
        new PeerMessage.PermitReply(
            request.ticket(),
            target.map(chosen -> chosen.info().id()),
            pool.permitWaitMs(need, nowMs)));
  }

  /** Removes a queued request that its instance cancelled. */
  public void placementCancelled(InstanceId peer, long ticket) {
    queue.remove(peer, ticket);
  }

  /** Assigns targets to queued requests, because engines may have room again. */
  public void placeQueued(long nowMs) {
    if (!queue.isEmpty()) {
      queue.place((request, target) -> placeStart(request, Optional.of(target), nowMs), nowMs);
    }
  }

  private void placeStart(
      PlacementQueue.QueuedRequest request, Optional<Target> target, long nowMs) {
    PlacementNeed need = request.need();
    Optional<Target> backup = target.flatMap(chosen -> pool.chooseBackup(need, chosen, nowMs));
    InstanceId peer = request.instance();
    long grant = grants.next();
    target.ifPresent(
        chosen -> grant(peer, grant, chosen, 1, need.tokens(), need.promptTokens(), nowMs));
    target.ifPresent(chosen -> pool.takePermit(chosen, nowMs));
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
