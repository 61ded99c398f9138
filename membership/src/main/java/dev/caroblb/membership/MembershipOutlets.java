package dev.caroblb.membership;

import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;

/**
 * Destinations of the messages that the membership duty emits.
 *
 * @param peers the transport, for messages to other instances
 * @param targets the placement duty, for changes of targets
 * @param view holder of the latest view, read by the adapter that answers {@code GET /v1/entries}
 * @param drain the duties that admit and end calls, for the progress of a planned stop
 */
public record MembershipOutlets(
    Outlet<PeerEnvelope<PeerMessage>> peers,
    Outlet<TargetChange> targets,
    Outlet<InstanceView> view,
    Outlet<DrainProgress> drain) {}
