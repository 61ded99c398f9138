package dev.caroblb.core;

/** One run of a target; what is known of a run does not hold for the next one. */
public record TargetRun(TargetId target, long incarnation) {}
