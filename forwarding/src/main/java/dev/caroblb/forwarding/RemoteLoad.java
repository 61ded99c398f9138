package dev.caroblb.forwarding;

import dev.caroblb.core.TargetRun;
import java.util.Optional;

/** Load that other instances have put on targets, as far as this instance knows. */
interface RemoteLoad {
  /** Returns the load on one run of a target; empty if none is known or the report is stale. */
  Optional<TargetLoad> at(TargetRun run, long nowMs);
}
