package dev.caroblb.idempotency;

import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.RetryReason;

/**
 * Destinations of the messages that the idempotency duty emits.
 *
 * @param peers the transport
 * @param decisions the streams duty
 * @param retries counter of retries
 * @param inbox the ring of the idempotency duty itself, for outcomes of proposals
 */
public record IdempotencyOutlets(
    Outlet<PeerEnvelope<KeyMessage>> peers,
    Outlet<KeyDecision> decisions,
    Outlet<RetryReason> retries,
    Outlet<IdempotencyMessage> inbox) {}
