package dev.caroblb.settings;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * Validated settings of one instance.
 *
 * @param cluster name of the cluster; connections from instances of other clusters are refused
 * @param clusterToken secret that the instances of the cluster share
 * @param instance name of this instance
 * @param domain failure domain of this instance
 * @param region region of this instance
 * @param callersAddress address to listen on for callers, targets and operators
 * @param peersAddress address to listen on for other instances
 * @param peers all instances of the cluster, this one included
 * @param dataFolder folder for durable state; present if and only if the instance is a replica
 * @param keyGroups number of consensus groups that the idempotency keys are partitioned over
 * @param operatorTokenSha256 SHA-256 of the operators' token, in lower-case hex
 * @param targetTokenSha256 SHA-256 of the targets' token, in lower-case hex
 * @param limits limits on what the instance accepts
 * @param times timeouts and other durations
 * @param logLevel minimum severity of logged messages
 * @param portsFile file to which the instance writes the ports it listens on
 */
public record InstanceSettings(
    String cluster,
    Secret clusterToken,
    InstanceId instance,
    FailureDomain domain,
    String region,
    SocketAddress callersAddress,
    SocketAddress peersAddress,
    List<PeerSettings> peers,
    Optional<Path> dataFolder,
    int keyGroups,
    String operatorTokenSha256,
    String targetTokenSha256,
    LimitSettings limits,
    TimeSettings times,
    Level logLevel,
    Optional<Path> portsFile) {
  public InstanceSettings {
    peers = List.copyOf(peers);
  }

  /** Whether this instance has a data folder and votes in the consensus groups. */
  public boolean replica() {
    return dataFolder.isPresent();
  }

  /** All instances of the cluster except this one. */
  public List<PeerSettings> otherPeers() {
    return peers.stream().filter(peer -> !peer.instance().equals(instance)).toList();
  }
}
