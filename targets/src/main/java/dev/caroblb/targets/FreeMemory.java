package dev.caroblb.targets;

/**
 * Free memory of a target.
 *
 * @param target the target
 * @param tokens tokens that a new request may need there; 0 or less if it is full
 */
public record FreeMemory(TargetInfo target, double tokens) {}
