package dev.caroblb.targets;

import dev.caroblb.core.TargetRun;
import java.util.Optional;

/** Load that other instances have put on targets, as far as this instance knows. */
public interface RemoteLoad {
  /** Age in milliseconds from which reported load is ignored. */
  long MAX_AGE_MS = 2_500;

  /** Returns the load on one run of a target; empty if none is known or the report is stale. */
  Optional<TargetLoad> at(TargetRun run, long nowMs);
}
