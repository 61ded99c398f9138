package dev.caroblb.pacing;

import dev.caroblb.core.TargetRun;
import java.util.Optional;

/** A source of a rate at which a target may get requests from all instances together. */
interface RateSource {
  /** Requests per second that a target may get; empty if this source does not limit it. */
  Optional<Double> perSecond(TargetRun run, long nowMs);

  /** Whether this source limits any target. */
  boolean limitsAny(long nowMs);

  /** Forgets what is not needed any more. */
  void expire(long nowMs);

  /** Forgets a run of a target that has ended. */
  void forget(TargetRun run);
}
