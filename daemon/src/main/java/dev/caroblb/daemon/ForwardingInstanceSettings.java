package dev.caroblb.daemon;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import dev.caroblb.forwarding.ForwardingSettings;
import dev.caroblb.membership.LocalResources;
import dev.caroblb.transport.PeerDirectory;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * Settings of an instance that discovers the others through its seeds and forwards requests.
 *
 * @param instance name of this instance
 * @param domain its failure domain
 * @param cluster name of the system
 * @param token shared secret of the system's instances
 * @param peersAddress address on which it listens for other instances
 * @param directory addresses of other instances
 * @param seeds control instances named in the settings, through which it discovers the others
 * @param firstStart whether the whole system starts for the first time, with empty disks
 * @param toleratedLosses control instances that may be lost at the same time
 * @param dataFolder data folder of its control replica; empty if it has none
 * @param callersAddress address for callers; empty if it serves none
 * @param drainLimitMs maximum duration of a planned stop in milliseconds
 * @param forwarding settings of the forwarding duty
 * @param resources source of the resources that this instance reports to the others
 * @param learnsRates whether the rates of targets that have started or recovered are learned
 */
public record ForwardingInstanceSettings(
    InstanceId instance,
    FailureDomain domain,
    String cluster,
    String token,
    InetSocketAddress peersAddress,
    PeerDirectory directory,
    List<InstanceId> seeds,
    boolean firstStart,
    int toleratedLosses,
    Optional<Path> dataFolder,
    Optional<String> callersAddress,
    long drainLimitMs,
    ForwardingSettings forwarding,
    LocalResources resources,
    boolean learnsRates) {
  public ForwardingInstanceSettings {
    seeds = List.copyOf(seeds);
  }

  boolean hasControlReplica() {
    return dataFolder.isPresent();
  }
}
