package dev.caroblb.membership;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;

/**
 * An instance as its latest heartbeat describes it.
 *
 * @param id name of the instance
 * @param incarnation identity of its run
 * @param state draining is final within an incarnation
 * @param configuration number of the configuration in force there
 * @param domain its failure domain
 * @param address where callers connect, empty when it is no entry
 */
public record InstanceRecord(
    InstanceId id,
    long incarnation,
    InstanceState state,
    long configuration,
    FailureDomain domain,
    String address) {}
