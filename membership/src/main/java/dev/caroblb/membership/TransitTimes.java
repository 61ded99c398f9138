package dev.caroblb.membership;

import dev.caroblb.core.InstanceId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Bounds how long a message was under way. A stalled connection delivers old messages late, and
 * their age must include that time. The bound uses the own clock only: the message is younger than
 * the own heartbeat that its sender had seen.
 */
final class TransitTimes {
  /** Two clocks that are each off by at most 1% differ by at most 2%. */
  private static final long RATE_DIFFERENCE_DIVISOR = 50;

  private record Seen(long incarnation, long sentAtMs, long arrivedAtMs) {}

  private final long ownIncarnation;
  private final Map<InstanceId, Seen> seen = new HashMap<>();

  TransitTimes(long ownIncarnation) {
    this.ownIncarnation = ownIncarnation;
  }

  /** Notes the latest heartbeat of a peer. */
  void heartbeat(InstanceId peer, PeerMessage.Heartbeat heartbeat, long nowMs) {
    seen.put(peer, new Seen(heartbeat.incarnation(), heartbeat.sentAtMs(), nowMs));
  }

  /** What a message to the peer carries; empty before its first heartbeat. */
  Optional<Echo> echoFor(InstanceId peer, long nowMs) {
    return Optional.ofNullable(seen.get(peer))
        .map(s -> new Echo(s.incarnation(), s.sentAtMs(), nowMs - s.arrivedAtMs()));
  }

  /** The longest time a message with this echo can have been under way; empty when unknown. */
  Optional<Long> transit(Optional<Echo> echo, long nowMs) {
    return echo.filter(e -> e.incarnation() == ownIncarnation && e.heldMs() >= 0)
        .map(e -> nowMs - e.sentAtMs() - (e.heldMs() - e.heldMs() / RATE_DIFFERENCE_DIVISOR))
        .map(ms -> Math.max(0, ms));
  }
}
