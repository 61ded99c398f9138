package dev.caroblb.streams;

import dev.caroblb.core.CallRequest;
import dev.caroblb.core.RefusalReason;
import java.util.Optional;

/**
 * End of one attempt at a target, for admission, placement and metrics.
 *
 * @param call the call; absent for a resume of a generation of another entry instance
 * @param endpoint where it ran
 * @param tokens number of tokens received from the target
 * @param refusal why it did not complete, absent when it did
 * @param retry whether the call may be placed again: nothing ran, or it is repeatable, and nothing
 *     was delivered
 */
public record CallOutcome(
    Optional<CallRequest> call,
    Endpoint endpoint,
    long tokens,
    Optional<RefusalReason> refusal,
    boolean retry) {}
