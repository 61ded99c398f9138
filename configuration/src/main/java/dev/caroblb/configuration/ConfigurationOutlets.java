package dev.caroblb.configuration;

import dev.caroblb.core.Addressed;
import dev.caroblb.core.Outlet;

/**
 * Destinations of the messages that the configuration duty emits.
 *
 * @param peers messages to other instances
 * @param views consumer of the configuration under which calls are admitted. A view that it accepts
 *     must take effect immediately, because its number is then acknowledged to the leader
 * @param self ring of the configuration duty itself, for the outcomes of its proposals
 */
public record ConfigurationOutlets(
    Outlet<Addressed<PeerMessage>> peers,
    Outlet<EntryView> views,
    Outlet<ConfigurationMessage> self) {}
