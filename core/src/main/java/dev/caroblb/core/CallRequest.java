package dev.caroblb.core;

import java.util.Optional;

/**
 * One call of a caller at this entry instance.
 *
 * @param id identity within this entry instance
 * @param workspace workspace that is charged for it
 * @param policy policy in force when the call was accepted
 * @param deadlineMs monotonic time by which the answer must be complete
 * @param idempotencyKey key under which the call runs at most once
 * @param body payload for the target; not interpreted
 */
public record CallRequest(
    long id,
    WorkspaceId workspace,
    CallPolicy policy,
    long deadlineMs,
    Optional<String> idempotencyKey,
    Payload body) {}
