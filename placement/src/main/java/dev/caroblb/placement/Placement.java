package dev.caroblb.placement;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.TargetId;

/**
 * Target chosen for a call.
 *
 * @param target chosen target
 * @param incarnation incarnation of the target for which the placement is valid
 * @param domain failure domain of the target
 * @param address address of the target
 * @param enginePriority priority for the engine: a call with a larger number is preempted later
 */
public record Placement(
    TargetId target, long incarnation, FailureDomain domain, String address, int enginePriority) {}
