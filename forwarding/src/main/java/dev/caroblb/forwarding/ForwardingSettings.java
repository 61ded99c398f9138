package dev.caroblb.forwarding;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;

/**
 * Limits of the forwarding handler.
 *
 * @param instance this instance
 * @param domain failure domain of this instance
 * @param maxCalls number of requests that may run at once
 * @param maxResponseBytes memory for parts of responses that are not relayed yet, in bytes; above
 *     it, the attempt with the largest response fails
 * @param retryRatio retries allowed per request of a service
 * @param retryWindowMs window of the retry budget, in milliseconds
 * @param retrySlack additional retries per window for all instances together
 */
public record ForwardingSettings(
    InstanceId instance,
    FailureDomain domain,
    int maxCalls,
    long maxResponseBytes,
    double retryRatio,
    long retryWindowMs,
    double retrySlack) {}
