package dev.caroblb.targets;

import dev.caroblb.core.TargetRun;
import java.util.List;
import java.util.Optional;

/** Learned speeds of targets. */
public interface TargetSpeeds {
  /** No speed is known: all targets are chosen by load alone. */
  TargetSpeeds NONE =
      new TargetSpeeds() {
        @Override
        public Optional<TargetSpeed> at(TargetRun run, long nowMs) {
          return Optional.empty();
        }

        @Override
        public List<TargetSpeed> all() {
          return List.of();
        }
      };

  /** Returns the speed of one run of a target; empty if none is known or it is stale. */
  Optional<TargetSpeed> at(TargetRun run, long nowMs);

  /** All known speeds, in a bounded list. */
  List<TargetSpeed> all();
}
