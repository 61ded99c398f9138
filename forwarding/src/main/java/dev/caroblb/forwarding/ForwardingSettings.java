package dev.caroblb.forwarding;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;

/**
 * Bounds of the forwarding duty.
 *
 * @param instance this instance
 * @param domain failure domain of this instance
 * @param maxCalls requests that may run at once
 * @param retryRatio repeats allowed for each request of a service
 * @param retryWindowMs window of the budget for repeats, in milliseconds
 * @param retrySlack repeats that all instances together may add in each window
 */
public record ForwardingSettings(
    InstanceId instance,
    FailureDomain domain,
    int maxCalls,
    double retryRatio,
    long retryWindowMs,
    double retrySlack) {}
