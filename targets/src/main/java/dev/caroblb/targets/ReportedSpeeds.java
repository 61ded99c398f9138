package dev.caroblb.targets;

import dev.caroblb.core.TargetRun;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Speeds of targets, from the last report of a control instance. */
public final class ReportedSpeeds implements TargetSpeeds {
  /** Age in milliseconds from which reported speeds are ignored; the half-life of observations. */
  static final long MAX_AGE_MS = 10_000;

  private Map<TargetRun, TargetSpeed> speeds = Map.of();
  private long reportedAtMs;

  public void replace(List<TargetSpeed> reported, long nowMs) {
    Map<TargetRun, TargetSpeed> latest = new HashMap<>();
    reported.forEach(speed -> latest.put(speed.run(), speed));
    speeds = latest;
    reportedAtMs = nowMs;
  }

  @Override
  public Optional<TargetSpeed> at(TargetRun run, long nowMs) {
    return nowMs - reportedAtMs >= MAX_AGE_MS
        ? Optional.empty()
        : Optional.ofNullable(speeds.get(run));
  }

  @Override
  public List<TargetSpeed> all() {
    return List.copyOf(speeds.values());
  }
}
