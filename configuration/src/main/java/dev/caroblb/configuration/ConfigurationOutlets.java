package dev.caroblb.configuration;

import dev.caroblb.core.Addressed;
import dev.caroblb.core.Outlet;

/**
 * Where the configuration duty's messages go.
 *
 * @param peers messages to other instances
 * @param views the configuration to admit calls under; an accepted view must take effect at once,
 *     because its number is acknowledged to the leader afterwards
 * @param self the ring of the configuration duty, for outcomes of its proposals
 */
public record ConfigurationOutlets(
    Outlet<Addressed<PeerMessage>> peers,
    Outlet<EntryView> views,
    Outlet<ConfigurationMessage> self) {}
