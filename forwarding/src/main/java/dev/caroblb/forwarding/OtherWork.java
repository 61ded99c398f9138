package dev.caroblb.forwarding;

import java.util.Optional;

/** Work that other instances have given to targets, as far as it is known here. */
interface OtherWork {
  /** The work at one run of a target; empty when none is known or what was known is too old. */
  Optional<TargetWork> at(TargetRun run, long nowMs);
}
