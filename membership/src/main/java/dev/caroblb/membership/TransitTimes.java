package dev.caroblb.membership;

import dev.caroblb.core.InstanceId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Computes upper bounds on the transit time of messages. A stalled connection delivers messages
 * late, and the age of their content must include that time. The bound uses only the local clock: a
 * message was sent after the local heartbeat that it echoes.
 */
final class TransitTimes {
  /** Clock drift of at most 2% between two instances whose clocks are each off by at most 1%. */
  private static final long CLOCK_DRIFT_DIVISOR = 50;

  private record ReceivedHeartbeat(long incarnation, long sentAtMs, long arrivedAtMs) {}

  private final long ownIncarnation;
  private final Map<InstanceId, ReceivedHeartbeat> lastHeartbeats = new HashMap<>();

  TransitTimes(long ownIncarnation) {
    this.ownIncarnation = ownIncarnation;
  }

  /** Records the latest heartbeat of a peer. */
  void heartbeatReceived(InstanceId peer, PeerMessage.Heartbeat heartbeat, long nowMs) {
    lastHeartbeats.put(
        peer, new ReceivedHeartbeat(heartbeat.incarnation(), heartbeat.sentAtMs(), nowMs));
  }

  /** The echo to send in a message to the peer; empty before its first heartbeat. */
  Optional<Echo> echoFor(InstanceId peer, long nowMs) {
    return Optional.ofNullable(lastHeartbeats.get(peer))
        .map(s -> new Echo(s.incarnation(), s.sentAtMs(), nowMs - s.arrivedAtMs()));
  }

  /** Upper bound on the transit time of a message with this echo; empty if unknown. */
  Optional<Long> maxTransitMs(Optional<Echo> echo, long nowMs) {
    return echo.filter(e -> e.incarnation() == ownIncarnation && e.heldMs() >= 0)
        .map(e -> nowMs - e.sentAtMs() - (e.heldMs() - e.heldMs() / CLOCK_DRIFT_DIVISOR))
        .map(ms -> Math.max(0, ms));
  }
}
