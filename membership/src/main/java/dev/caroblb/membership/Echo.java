package dev.caroblb.membership;

/**
 * The latest heartbeat of the receiver that the sender of a message has seen. The receiver knows
 * from it, on its own clock alone, the longest time that the message can have been under way.
 *
 * @param incarnation incarnation of the receiver that sent the heartbeat
 * @param sentAtMs the receiver's own monotonic time of that heartbeat, returned unchanged
 * @param heldMs time between the arrival of the heartbeat and the sending of this message
 */
public record Echo(long incarnation, long sentAtMs, long heldMs) {}
