package dev.caroblb.placement;

import dev.caroblb.core.TargetId;

/**
 * Change of the prefix cache of a target. Events may arrive late or be lost, leaving sequence gaps.
 *
 * @param target target whose cache changed
 * @param incarnation incarnation of the target
 * @param sequence number of the event within the incarnation
 * @param prefix hash of the cached prefix
 * @param stored true when the prefix was stored, false when it was evicted
 */
public record CacheEvent(
    TargetId target, long incarnation, long sequence, long prefix, boolean stored) {}
