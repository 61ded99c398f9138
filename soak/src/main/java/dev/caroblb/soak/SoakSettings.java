package dev.caroblb.soak;

/**
 * Size of a run.
 *
 * @param seed where faults and calls are drawn from
 * @param lengthMs time in milliseconds in which faults begin
 * @param instances number of instances, three of them with a disk
 * @param callers callers of each kind
 */
record SoakSettings(long seed, long lengthMs, int instances, int callers) {}
