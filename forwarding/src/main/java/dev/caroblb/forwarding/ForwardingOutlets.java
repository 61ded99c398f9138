package dev.caroblb.forwarding;

import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.TargetRun;

/**
 * Destinations of the messages of the forwarding handler.
 *
 * @param scheduling the scheduling handlers of control instances
 * @param pacing control instances, which exchange the request limits of targets
 * @param evidence the forwarding handlers of control instances, for evidence of crashed targets
 * @param resumption the resumption handlers of control instances
 * @param leaving receives the targets that said in a response that they leave
 */
public record ForwardingOutlets(
    Outlet<PeerEnvelope<dev.caroblb.scheduling.PeerMessage>> scheduling,
    Outlet<PeerEnvelope<dev.caroblb.pacing.PeerMessage>> pacing,
    Outlet<PeerEnvelope<PeerMessage>> evidence,
    Outlet<PeerEnvelope<dev.caroblb.resumption.PeerMessage>> resumption,
    Outlet<TargetRun> leaving) {}
