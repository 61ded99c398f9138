package dev.caroblb.callers;

import dev.caroblb.core.RefusalReason;

/** Counts refusals by reason. */
@FunctionalInterface
public interface RefusalCounter {
  void refused(RefusalReason reason);
}
