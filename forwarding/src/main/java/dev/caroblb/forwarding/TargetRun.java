package dev.caroblb.forwarding;

import dev.caroblb.core.TargetId;

/** One run of a target; a restart discards the load of the previous run. */
public record TargetRun(TargetId target, long incarnation) {
  static TargetRun of(TargetLoad load) {
    return new TargetRun(load.target(), load.incarnation());
  }

  static TargetRun of(TargetInfo info) {
    return new TargetRun(info.id(), info.incarnation());
  }
}
