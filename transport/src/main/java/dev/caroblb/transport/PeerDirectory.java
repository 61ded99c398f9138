package dev.caroblb.transport;

import dev.caroblb.core.InstanceId;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;

/** Where other instances listen, and so which ones a connection may come from. */
@FunctionalInterface
public interface PeerDirectory {
  /** Address of an instance; empty when the instance does not belong to the system. */
  Optional<InetSocketAddress> address(InstanceId instance);

  /** A directory of a list of instances that does not change. */
  static PeerDirectory fixed(Map<InstanceId, InetSocketAddress> addresses) {
    Map<InstanceId, InetSocketAddress> known = Map.copyOf(addresses);
    return instance -> Optional.ofNullable(known.get(instance));
  }
}
