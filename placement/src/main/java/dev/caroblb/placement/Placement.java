package dev.caroblb.placement;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.TargetId;

/**
 * Where a call goes.
 *
 * @param target chosen target
 * @param incarnation incarnation for which the choice holds
 * @param domain failure domain of the target
 * @param address address of the target
 * @param enginePriority priority for the engine: a larger number is preempted later
 */
public record Placement(
    TargetId target, long incarnation, FailureDomain domain, String address, int enginePriority) {}
