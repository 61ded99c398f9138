package dev.caroblb.membership;

import dev.caroblb.core.InstanceId;
import java.util.List;
import java.util.Set;

/** Full mesh: every instance of a fixed list exchanges its tables with all others. */
public final class FixedTopology implements Topology {
  private final Set<InstanceId> peers;

  public FixedTopology(Set<InstanceId> peers) {
    this.peers = Set.copyOf(peers);
  }

  @Override
  public Set<InstanceId> peers() {
    return peers;
  }

  @Override
  public List<InstanceId> contacts() {
    return List.of();
  }

  @Override
  public void heartbeatReceived(InstanceId peer, List<InstanceId> contacts, long nowMs) {}

  @Override
  public void expire(long nowMs) {}

  /**
   * Always false: announcements need no forwarding by contacts, so a silent target is always
   * considered silent.
   */
  @Override
  public boolean disconnected(long nowMs) {
    return false;
  }
}
