package dev.caroblb.soak;

/**
 * Settings of one run.
 *
 * @param seed seed of the random generators for faults and calls
 * @param faultPhaseMs time in milliseconds during which faults are started
 * @param instances number of instances; three of them are replicas with a disk
 * @param callers number of callers of each kind
 * @param plannedOnly whether instances are only stopped as planned, so that no call may be cut
 */
record SoakSettings(
    long seed, long faultPhaseMs, int instances, int callers, boolean plannedOnly) {}
