package dev.caroblb.forwarding;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.TargetId;

/**
 * A target that may get requests.
 *
 * @param id name of the target
 * @param incarnation identity of its run
 * @param service the service it belongs to
 * @param address where requests are sent, {@code host:port}
 * @param domain its failure domain
 */
public record TargetInfo(
    TargetId id, long incarnation, String service, String address, FailureDomain domain) {}
