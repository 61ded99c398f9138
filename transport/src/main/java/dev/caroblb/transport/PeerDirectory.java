package dev.caroblb.transport;

import dev.caroblb.core.InstanceId;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;

/** Addresses of the other instances; only instances with an address may connect. */
@FunctionalInterface
public interface PeerDirectory {
  /** Returns the address of an instance; empty if the instance is not part of the cluster. */
  Optional<InetSocketAddress> address(InstanceId instance);

  /** Creates a directory with fixed addresses. */
  static PeerDirectory fixed(Map<InstanceId, InetSocketAddress> addresses) {
    Map<InstanceId, InetSocketAddress> known = Map.copyOf(addresses);
    return instance -> Optional.ofNullable(known.get(instance));
  }
}
