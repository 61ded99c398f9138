package dev.caroblb.scheduling;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.TargetId;
import dev.caroblb.pacing.AnnouncedWarmUp;
import dev.caroblb.routing.RoutingTable;
import dev.caroblb.targets.TargetInfo;
import java.util.Set;

/** Input of the scheduling handler. */
public sealed interface SchedulingMessage {
  /** A message of an instance that requests targets. */
  record FromPeer(PeerEnvelope<PeerMessage> received) implements SchedulingMessage {}

  /** A message of an instance about the request limits of targets. */
  record LimitsFromPeer(PeerEnvelope<dev.caroblb.pacing.PeerMessage> received)
      implements SchedulingMessage {}

  /** Another routing table became active. */
  record TableInstalled(RoutingTable table) implements SchedulingMessage {}

  /**
   * The target accepts requests; sent again with each heartbeat of the target.
   *
   * @param warmUp what the heartbeat says about the warm-up of the target
   */
  record TargetAvailable(TargetInfo target, AnnouncedWarmUp warmUp) implements SchedulingMessage {
    /** The target is warm. */
    public TargetAvailable(TargetInfo target) {
      this(target, AnnouncedWarmUp.WARM);
    }
  }

  /** The target finishes its running requests and accepts no new ones. */
  record TargetLeaving(TargetId target, long incarnation) implements SchedulingMessage {}

  /** The target was not heard from in time, or was replaced. */
  record TargetGone(TargetId target, long incarnation) implements SchedulingMessage {}

  /** The number of instances known to serve callers changed. */
  record ServingInstancesChanged(int count) implements SchedulingMessage {}

  /** The set of failure domains to whose targets nothing may be sent has changed. */
  record EvacuationsChanged(Set<FailureDomain> domains) implements SchedulingMessage {
    public EvacuationsChanged {
      domains = Set.copyOf(domains);
    }
  }
}
