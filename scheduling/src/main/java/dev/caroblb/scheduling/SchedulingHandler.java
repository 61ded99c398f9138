package dev.caroblb.scheduling;

import dev.caroblb.core.DutyHandler;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.pacing.LearnedRates;
import dev.caroblb.pacing.LimitExchange;
import dev.caroblb.pacing.PaceAnnouncer;
import dev.caroblb.pacing.PacingGauges;
import dev.caroblb.pacing.TargetLimits;
import dev.caroblb.targets.RemoteLoad;
import dev.caroblb.targets.SpeedTable;
import dev.caroblb.targets.TargetInfo;
import dev.caroblb.targets.TargetPool;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * The duty of a control instance that assigns targets to the requests of all instances. Its state
 * is rebuilt from their reports after a restart.
 */
public final class SchedulingHandler implements DutyHandler<SchedulingMessage> {
  private final PlacementLedger ledger = new PlacementLedger(RemoteLoad.MAX_AGE_MS);
  private final TargetLimits limits;
  private final SpeedTable speeds = new SpeedTable();
  private final TargetPool pool;
  private final LimitExchange limitExchange;
  private final PaceAnnouncer paces;
  private final PlacementCoordinator coordinator;

  /** Creates a handler that learns the rates of targets which have started or recovered. */
  public SchedulingHandler(
      Outlet<PeerEnvelope<PeerMessage>> peers,
      Outlet<PeerEnvelope<dev.caroblb.pacing.PeerMessage>> limitPeers,
      RandomGenerator random) {
    this(peers, limitPeers, random, true);
  }

  /**
   * @param peers receives the replies to the instances that request targets
   * @param limitPeers receives the announcements of request limits
   * @param learnsRates whether the rates of targets that have started or recovered are learned
   */
  public SchedulingHandler(
      Outlet<PeerEnvelope<PeerMessage>> peers,
      Outlet<PeerEnvelope<dev.caroblb.pacing.PeerMessage>> limitPeers,
      RandomGenerator random,
      boolean learnsRates) {
    limits =
        TargetLimits.ofControl(learnsRates ? Optional.of(new LearnedRates()) : Optional.empty());
    pool = new TargetPool(random, List.of(ledger), limits, speeds);
    limitExchange = new LimitExchange(limitPeers, limits, ledger::instances);
    paces = new PaceAnnouncer(limitPeers, limits, ledger::instances);
    coordinator =
        new PlacementCoordinator(peers, pool, ledger, limits, new ProcessSequence(random), random);
  }

  @Override
  public void handle(SchedulingMessage message, long nowMs) {
    if (message instanceof SchedulingMessage.FromPeer fromPeer) {
      fromPeer(fromPeer.received().peer(), fromPeer.received().message(), nowMs);
    } else if (message instanceof SchedulingMessage.LimitsFromPeer fromPeer) {
      limitsFromPeer(fromPeer.received().peer(), fromPeer.received().message(), nowMs);
    } else {
      stateChanged(message, nowMs);
      coordinator.placeQueued(nowMs);
    }
  }

  private void fromPeer(InstanceId peer, PeerMessage message, long nowMs) {
    if (message instanceof PeerMessage.LoadReport report) {
      speeds.update(pool::infos, nowMs);
      speeds.observed(peer, report.observations(), nowMs);
      coordinator.loadReported(peer, report, nowMs);
    } else if (message instanceof PeerMessage.PlacementRequest request) {
      coordinator.placementRequested(peer, request, nowMs);
    } else if (message instanceof PeerMessage.PlacementCancelled cancelled) {
      coordinator.placementCancelled(peer, cancelled.ticket(), nowMs);
    }
  }

  private void limitsFromPeer(InstanceId peer, dev.caroblb.pacing.PeerMessage message, long nowMs) {
    if (message instanceof dev.caroblb.pacing.PeerMessage.LimitReport report) {
      limitExchange.reported(peer, report, nowMs);
    } else if (message instanceof dev.caroblb.pacing.PeerMessage.PaceReport report) {
      paces.reported(report, nowMs);
    }
  }

  private void stateChanged(SchedulingMessage message, long nowMs) {
    if (message instanceof SchedulingMessage.TableInstalled installed) {
      pool.setEngineLimits(installed.table().engines());
      limits.setWarmUps(installed.table().warmUps());
    } else if (message instanceof SchedulingMessage.TargetAvailable available) {
      targetAvailable(available, nowMs);
    } else if (message instanceof SchedulingMessage.TargetLeaving leaving) {
      var unused = pool.leaving(leaving.target(), leaving.incarnation(), nowMs);
    } else if (message instanceof SchedulingMessage.TargetGone gone) {
      var unused = pool.gone(gone.target(), gone.incarnation());
    } else if (message instanceof SchedulingMessage.ServingInstancesChanged changed) {
      coordinator.setServingInstances(changed.count());
    } else if (message instanceof SchedulingMessage.EvacuationsChanged changed) {
      pool.setEvacuated(changed.domains(), nowMs);
      coordinator.replyUnservable(nowMs);
    }
  }

  private void targetAvailable(SchedulingMessage.TargetAvailable available, long nowMs) {
    TargetInfo target = available.target();
    pool.available(target);
    limits.available(target.run(), target.service(), target.domain(), available.warmUp(), nowMs);
  }

  /** Numbers about paced targets; may be read from any thread. */
  public PacingGauges pacingGauges() {
    return limits.gauges();
  }

  @Override
  public void tick(long nowMs) {
    if (nowMs >= limitExchange.nextMs()) {
      limitExchange.tick(nowMs);
    }
    if (nowMs >= paces.nextMs()) {
      paces.tick(nowMs);
    }
    if (nowMs >= coordinator.nextMs()) {
      coordinator.tick(nowMs);
    }
  }

  @Override
  public long nextTickMs() {
    return Math.min(limitExchange.nextMs(), Math.min(paces.nextMs(), coordinator.nextMs()));
  }
}
