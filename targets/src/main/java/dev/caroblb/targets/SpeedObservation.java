package dev.caroblb.targets;

import dev.caroblb.core.TargetRun;
import java.util.List;

/**
 * What an instance measured at one run of a target since its last report.
 *
 * @param run the run of the target
 * @param samples one element per load class with measurements
 */
public record SpeedObservation(TargetRun run, List<SpeedSample> samples) {
  public SpeedObservation {
    samples = List.copyOf(samples);
  }
}
