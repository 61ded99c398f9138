package dev.caroblb.core;

import java.util.Optional;

/**
 * A call that this entry instance received from a caller.
 *
 * @param id identifier, unique within this entry instance
 * @param workspace workspace whose share and limits apply to it
 * @param policy policy that was active when the call was accepted
 * @param deadlineMs monotonic time by which the answer must be complete
 * @param idempotencyKey key under which the call runs at most once; empty if the caller sent none
 * @param body payload for the target; not interpreted
 */
public record CallRequest(
    long id,
    WorkspaceId workspace,
    CallPolicy policy,
    long deadlineMs,
    Optional<String> idempotencyKey,
    Payload body) {}
