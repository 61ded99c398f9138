package dev.caroblb.settings;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;

/**
 * Settings of one instance of the cluster, which must be the same on every instance.
 *
 * @param instance name of the instance
 * @param domain failure domain of the instance
 * @param peersAddress address that other instances connect to
 * @param callersAddress address that callers, targets and operators connect to; port 0 when the
 *     instance announces a port chosen by its operating system
 * @param replica whether the instance has a data folder and votes in the consensus groups
 */
public record PeerSettings(
    InstanceId instance,
    FailureDomain domain,
    SocketAddress peersAddress,
    SocketAddress callersAddress,
    boolean replica) {}
