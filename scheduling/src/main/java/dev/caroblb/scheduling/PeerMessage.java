package dev.caroblb.scheduling;

import dev.caroblb.core.TargetId;
import dev.caroblb.targets.PlacementNeed;
import dev.caroblb.targets.SpeedObservation;
import dev.caroblb.targets.TargetLoad;
import dev.caroblb.targets.TargetSpeed;
import java.util.List;
import java.util.Optional;

/** Messages between instances that coordinate the selection of targets. */
public sealed interface PeerMessage {
  /**
   * Load that the sender has put on targets; the receiver replies with the load of the others.
   *
   * @param lastGrant number of the last placement reply that the loads include; 0 if none
   * @param loads one element per target with load
   * @param observations what the sender measured at targets since its last observations
   */
  record LoadReport(long lastGrant, List<TargetLoad> loads, List<SpeedObservation> observations)
      implements PeerMessage {
    public LoadReport {
      loads = List.copyOf(loads);
      observations = List.copyOf(observations);
    }

    /** A report without observations. */
    public LoadReport(long lastGrant, List<TargetLoad> loads) {
      this(lastGrant, loads, List.of());
    }
  }

  /**
   * Total load of all instances other than the receiver.
   *
   * @param instances number of instances that serve callers, including the receiver
   * @param loads one element per target with load
   * @param speeds learned speeds of targets
   */
  record RemoteLoadReport(int instances, List<TargetLoad> loads, List<TargetSpeed> speeds)
      implements PeerMessage {
    public RemoteLoadReport {
      loads = List.copyOf(loads);
      speeds = List.copyOf(speeds);
    }

    /** A report without speeds. */
    public RemoteLoadReport(int instances, List<TargetLoad> loads) {
      this(instances, loads, List.of());
    }
  }

  /**
   * Requests a target.
   *
   * @param ticket identifies the placement request; increases with each one of a process, and
   *     differs from those of its earlier processes
   * @param need requirements of the call
   */
  record PlacementRequest(long ticket, PlacementNeed need) implements PeerMessage {}

  /** The call is queued until an engine has room; a {@link PlacementReply} follows. */
  record PlacementQueued(long ticket) implements PeerMessage {}

  /**
   * Final reply to a {@link PlacementRequest}.
   *
   * @param ticket ticket of the placement request
   * @param grant number of the reply; increases with each one of a process, and differs from those
   *     of its earlier processes
   * @param target the chosen target; empty if none accepts requests
   * @param backup second engine, which gets a copy of the generation's memory
   */
  record PlacementReply(
      long ticket, long grant, Optional<TargetId> target, Optional<TargetId> backup)
      implements PeerMessage {}

  /**
   * Final reply to a {@link PlacementRequest} for a permit.
   *
   * @param ticket ticket of the placement request
   * @param target the limited target that the request may be sent to; empty if there is no permit
   * @param waitMs time in milliseconds until a permit is expected; empty if the sender knows no
   *     limited target that may take the request
   */
  record PermitReply(long ticket, Optional<TargetId> target, Optional<Long> waitMs)
      implements PeerMessage {}

  /**
   * Final reply to a {@link PlacementRequest} that cannot start while its response is of use. The
   * request has not run.
   *
   * @param ticket ticket of the placement request
   * @param retryAfterMs time in milliseconds after which the caller may try again
   */
  record PlacementRejected(long ticket, long retryAfterMs) implements PeerMessage {}

  /** Cancels a placement request that is queued. */
  record PlacementCancelled(long ticket) implements PeerMessage {}
}
