package dev.caroblb.forwarding;

import dev.caroblb.core.TargetId;

/** One run of a target; a target that starts again has none of the work of before. */
record TargetRun(TargetId target, long incarnation) {
  static TargetRun of(TargetWork work) {
    return new TargetRun(work.target(), work.incarnation());
  }

  static TargetRun of(TargetInfo info) {
    return new TargetRun(info.id(), info.incarnation());
  }
}
