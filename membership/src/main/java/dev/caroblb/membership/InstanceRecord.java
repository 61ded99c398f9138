package dev.caroblb.membership;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import java.util.Optional;

/**
 * State of an instance according to its latest heartbeat.
 *
 * @param id name of the instance
 * @param incarnation identity of one run of the instance
 * @param state state of the instance; draining is final within an incarnation
 * @param configuration number of the configuration installed at the instance
 * @param domain failure domain of the instance
 * @param address address that callers connect to; empty if the instance is not an entry
 * @param resources its size and what is left of it; empty if it reports none
 */
public record InstanceRecord(
    InstanceId id,
    long incarnation,
    InstanceState state,
    long configuration,
    FailureDomain domain,
    String address,
    Optional<InstanceResources> resources) {
  InstanceRecord withoutResources() {
    return new InstanceRecord(
        id, incarnation, state, configuration, domain, address, Optional.empty());
  }
}
