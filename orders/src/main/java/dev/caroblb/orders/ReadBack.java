package dev.caroblb.orders;

import dev.caroblb.core.TargetId;

/** Request to read the state of an engine. */
public record ReadBack(TargetId engine) {}
