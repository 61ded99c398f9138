package dev.caroblb.streams;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.TargetId;

/**
 * Incarnation of a target and its address.
 *
 * @param target the target
 * @param incarnation its incarnation; a restarted target has a larger one
 * @param domain its failure domain
 * @param address host and port
 */
public record Endpoint(TargetId target, long incarnation, FailureDomain domain, String address) {}
