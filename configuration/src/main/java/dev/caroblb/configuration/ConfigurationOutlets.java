package dev.caroblb.configuration;

import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;

/**
 * Destinations of the messages that the configuration duty emits.
 *
 * @param peers messages to other instances
 * @param views consumer of the configuration under which calls are admitted. A view that it accepts
 *     must take effect immediately, because its number is then acknowledged to the leader
 * @param self ring of the configuration duty itself, for the outcomes of its proposals
 */
public record ConfigurationOutlets(
    Outlet<PeerEnvelope<PeerMessage>> peers,
    Outlet<EntryView> views,
    Outlet<ConfigurationMessage> self) {}
