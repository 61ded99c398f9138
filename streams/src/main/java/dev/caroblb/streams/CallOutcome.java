package dev.caroblb.streams;

import dev.caroblb.core.CallRequest;
import dev.caroblb.core.RefusalReason;
import java.util.Optional;

/**
 * Outcome of one attempt at a target, for admission, placement and metrics.
 *
 * @param call the call; absent for a resume of a generation of another entry instance
 * @param endpoint target of the attempt
 * @param tokens number of tokens received from the target
 * @param refusal why the attempt did not complete; absent when it did
 * @param retry whether the call may be placed again: nothing was delivered, and either nothing ran
 *     or the call is repeatable
 */
public record CallOutcome(
    Optional<CallRequest> call,
    Endpoint endpoint,
    long tokens,
    Optional<RefusalReason> refusal,
    boolean retry) {}
