package dev.caroblb.routing;

import dev.caroblb.core.Addressed;
import dev.caroblb.core.Outlet;

/**
 * Destinations of the messages of the routing handler.
 *
 * @param peers the transport
 * @param tables the handlers that use the active table
 * @param ownQueue the queue of the routing handler, which receives the outcomes of proposals
 */
public record RoutingOutlets(
    Outlet<Addressed<PeerMessage>> peers,
    Outlet<RoutingTable> tables,
    Outlet<RoutingMessage> ownQueue) {}
