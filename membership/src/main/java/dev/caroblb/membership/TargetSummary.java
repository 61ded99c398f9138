package dev.caroblb.membership;

import dev.caroblb.core.TargetId;

/** Entry of a digest, which identifies the latest announcement of one target. */
public record TargetSummary(TargetId target, long incarnation, long sequence, boolean leaving) {
  /** Whether this describes a later announcement than {@code other}. */
  boolean newerThan(TargetSummary other) {
    return incarnation != other.incarnation
        ? incarnation > other.incarnation
        : sequence > other.sequence;
  }
}
