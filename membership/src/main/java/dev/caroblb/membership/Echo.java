package dev.caroblb.membership;

/**
 * Identifies the latest heartbeat that the sender of a message got from its receiver. From it the
 * receiver computes an upper bound on the transit time of the message, using only its own clock.
 *
 * @param incarnation incarnation of the receiver that sent the heartbeat
 * @param sentAtMs monotonic time of the receiver at which it sent that heartbeat, returned
 *     unchanged
 * @param heldMs time between the arrival of the heartbeat and the sending of this message, on the
 *     clock of the sender
 */
public record Echo(long incarnation, long sentAtMs, long heldMs) {}
