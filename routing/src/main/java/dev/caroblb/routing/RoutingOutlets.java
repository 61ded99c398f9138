package dev.caroblb.routing;

import dev.caroblb.core.Addressed;
import dev.caroblb.core.Outlet;

/**
 * Where the routing duty sends its messages.
 *
 * @param peers the transport
 * @param tables the duties that use the table in force
 * @param ownQueue the ring of the routing duty, which hears the outcomes of proposals
 */
public record RoutingOutlets(
    Outlet<Addressed<PeerMessage>> peers,
    Outlet<RoutingTable> tables,
    Outlet<RoutingMessage> ownQueue) {}
