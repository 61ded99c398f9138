package dev.caroblb.evacuation;

import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;

/**
 * Destinations of the messages of the evacuation handler.
 *
 * @param peers the transport
 * @param states the handlers that choose targets
 * @param ownQueue the queue of the evacuation handler, which receives the outcomes of proposals
 */
public record EvacuationOutlets(
    Outlet<PeerEnvelope<PeerMessage>> peers,
    Outlet<EvacuationState> states,
    Outlet<EvacuationMessage> ownQueue) {}
