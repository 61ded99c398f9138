package dev.caroblb.membership;

/**
 * Progress of the planned stop of this instance.
 *
 * @param stage the latest stage
 * @param limitAtMs time at which calls that still run are ended
 */
public record DrainProgress(DrainStage stage, long limitAtMs) {}
