package dev.caroblb.membership;

import dev.caroblb.core.Addressed;
import dev.caroblb.core.Outlet;

/**
 * Where the membership duty sends its messages.
 *
 * @param peers the transport
 * @param targets the placement duty
 * @param view holder of the latest view, read by the adapter that answers {@code GET /v1/entries}
 * @param drain the duties that admit and end calls
 */
public record MembershipOutlets(
    Outlet<Addressed<PeerMessage>> peers,
    Outlet<TargetChange> targets,
    Outlet<InstanceView> view,
    Outlet<DrainStage> drain) {}
