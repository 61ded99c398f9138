package dev.caroblb.membership;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;

/**
 * This instance as others see it.
 *
 * @param id name of the instance
 * @param incarnation identity of this run; larger than that of every earlier run
 * @param domain failure domain from the settings
 * @param address where callers connect, {@code host:port}; empty for an instance that is no entry
 */
public record LocalInstance(
    InstanceId id, long incarnation, FailureDomain domain, String address) {}
