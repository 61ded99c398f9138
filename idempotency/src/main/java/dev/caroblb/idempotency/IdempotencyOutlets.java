package dev.caroblb.idempotency;

import dev.caroblb.core.Addressed;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.RetryReason;

/**
 * Where the idempotency duty sends its messages.
 *
 * @param peers the transport
 * @param decisions the streams duty
 * @param retries counter of retries
 * @param inbox the ring of the idempotency duty itself, for outcomes of proposals
 */
public record IdempotencyOutlets(
    Outlet<Addressed<KeyMessage>> peers,
    Outlet<KeyDecision> decisions,
    Outlet<RetryReason> retries,
    Outlet<IdempotencyMessage> inbox) {}
