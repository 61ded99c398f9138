package dev.caroblb.targets;

import dev.caroblb.core.TargetId;

/**
 * Free memory of a target.
 *
 * @param target the target
 * @param tokens tokens that a new request may need there; 0 or less if it is full
 */
public record FreeMemory(TargetId target, double tokens) {}
