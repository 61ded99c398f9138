package dev.caroblb.forwarding;

import java.util.Optional;

/**
 * One sending of a request to a target.
 *
 * @param call the request
 * @param attempt number of the sending within the request, from 1
 * @param target where to
 * @param waitMs time in milliseconds that is left for the answer
 * @param workspace name of the workspace that sends the request
 * @param rank urgency; 0 is the most urgent
 * @param lastEventId the event after which a stream goes on
 * @param memory copied memory from which a generation goes on
 * @param backup engine that gets a copy of the generation's memory as it grows
 */
public record AttemptOrder(
    ForwardCall call,
    int attempt,
    TargetInfo target,
    long waitMs,
    Optional<String> workspace,
    int rank,
    Optional<String> lastEventId,
    Optional<CopiedMemory> memory,
    Optional<TargetInfo> backup) {}
