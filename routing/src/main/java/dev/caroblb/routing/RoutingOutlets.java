package dev.caroblb.routing;

import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;

/**
 * Destinations of the messages of the routing handler.
 *
 * @param peers the transport
 * @param tables the handlers that use the active table
 * @param ownQueue the queue of the routing handler, which receives the outcomes of proposals
 */
public record RoutingOutlets(
    Outlet<PeerEnvelope<PeerMessage>> peers,
    Outlet<RoutingTable> tables,
    Outlet<RoutingMessage> ownQueue) {}
