package dev.caroblb.forwarding;

import dev.caroblb.targets.TargetInfo;
import java.util.Optional;

/**
 * Instruction to send a request to a target once.
 *
 * @param call the request
 * @param attempt number of the attempt within the request, from 1
 * @param target receives the request
 * @param timeoutMs time in milliseconds that is left for the response
 * @param workspace name of the workspace that sends the request
 * @param priority priority of the request; 0 is the highest
 * @param lastEventId ID of the event after which a stream resumes
 * @param memory copied memory from which a generation continues
 * @param backup engine that continuously gets a copy of the generation's memory
 */
public record AttemptOrder(
    ForwardCall call,
    int attempt,
    TargetInfo target,
    long timeoutMs,
    Optional<String> workspace,
    int priority,
    Optional<String> lastEventId,
    Optional<CopiedMemory> memory,
    Optional<TargetInfo> backup) {}
