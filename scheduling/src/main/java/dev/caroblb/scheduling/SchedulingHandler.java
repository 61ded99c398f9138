package dev.caroblb.scheduling;

import dev.caroblb.core.DutyHandler;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.pacing.LimitExchange;
import dev.caroblb.pacing.TargetLimits;
import dev.caroblb.targets.RemoteLoad;
import dev.caroblb.targets.SpeedTable;
import dev.caroblb.targets.TargetPool;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The duty of a control instance that assigns targets to the requests of all instances. Its state
 * is rebuilt from their reports after a restart.
 */
public final class SchedulingHandler implements DutyHandler<SchedulingMessage> {
  private final PlacementLedger ledger = new PlacementLedger(RemoteLoad.MAX_AGE_MS);
  private final TargetLimits limits = new TargetLimits();
  private final SpeedTable speeds = new SpeedTable();
  private final TargetPool pool;
  private final LimitExchange limitExchange;
  private final PlacementCoordinator coordinator;

  /**
   * @param peers receives the replies to the instances that request targets
   * @param limitPeers receives the announcements of request limits
   */
  public SchedulingHandler(
      Outlet<PeerEnvelope<PeerMessage>> peers,
      Outlet<PeerEnvelope<dev.caroblb.pacing.PeerMessage>> limitPeers,
      RandomGenerator random) {
    pool = new TargetPool(random, List.of(ledger), limits, speeds);
    limitExchange = new LimitExchange(limitPeers, limits, ledger::instances);
    coordinator =
        new PlacementCoordinator(peers, pool, ledger, limits, new ProcessSequence(random));
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
      speeds.update(pool.infos(), nowMs);
      speeds.observed(peer, report.observations(), nowMs);
      coordinator.loadReported(peer, report, nowMs);
    } else if (message instanceof PeerMessage.PlacementRequest request) {
      coordinator.placementRequested(peer, request, nowMs);
    } else if (message instanceof PeerMessage.PlacementCancelled cancelled) {
      coordinator.placementCancelled(peer, cancelled.ticket());
    }
  }

  private void limitsFromPeer(InstanceId peer, dev.caroblb.pacing.PeerMessage message, long nowMs) {
    if (message instanceof dev.caroblb.pacing.PeerMessage.LimitReport report) {
      limitExchange.reported(peer, report, nowMs);
    }
  }

  private void stateChanged(SchedulingMessage message, long nowMs) {
    if (message instanceof SchedulingMessage.TableInstalled installed) {
      pool.setEngineLimits(installed.table().engines());
    } else if (message instanceof SchedulingMessage.TargetAvailable available) {
      pool.available(available.target());
    } else if (message instanceof SchedulingMessage.TargetLeaving leaving) {
      var unused = pool.leaving(leaving.target(), leaving.incarnation(), nowMs);
    } else if (message instanceof SchedulingMessage.TargetGone gone) {
      pool.gone(gone.target(), gone.incarnation());
    } else if (message instanceof SchedulingMessage.ServingInstancesChanged changed) {
      coordinator.setServingInstances(changed.count());
    }
  }

  @Override
  public void tick(long nowMs) {
    if (nowMs >= limitExchange.nextMs()) {
      limitExchange.tick(nowMs);
    }
  }

  @Override
  public long nextTickMs() {
    return limitExchange.nextMs();
  }
}
