package dev.caroblb.admission;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.TargetId;

/** Target that placement chose for a call, and the priority of the call at its engine. */
public record CallTarget(
    TargetId target, long incarnation, FailureDomain domain, String address, int enginePriority) {}
