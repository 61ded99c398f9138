package dev.caroblb.membership;

import dev.caroblb.core.InstanceId;
import java.util.List;
import java.util.Set;

/** Every instance of a list exchanges its tables with every other one. */
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
  public void heard(InstanceId peer, List<InstanceId> contacts, long nowMs) {}

  @Override
  public void expire(long nowMs) {}

  /** Announcements reach an instance directly, so silence always counts. */
  @Override
  public boolean outOfTouch(long nowMs) {
    return false;
  }
}
