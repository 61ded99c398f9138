package dev.caroblb.forwarding;

import dev.caroblb.core.InstanceId;
import dev.caroblb.targets.PlacementNeed;

/**
 * A placement request without a final reply.
 *
 * @param ticket identifies the placement request
 * @param control the control instance that received it
 * @param purpose purpose of the placement
 * @param replyByMs time until which this instance waits for a first reply
 * @param queued whether the control instance has queued the call until an engine has room
 */
record PendingPlacement(
    long ticket,
    InstanceId control,
    PlacementNeed.Purpose purpose,
    long replyByMs,
    boolean queued) {
  PendingPlacement asQueued() {
    return new PendingPlacement(ticket, control, purpose, replyByMs, true);
  }

  /** Whether a first reply may still arrive in time. */
  boolean awaitsFirstReply(long nowMs) {
    return !queued && nowMs < replyByMs;
  }
}
