package dev.caroblb.targets;

import dev.caroblb.core.TargetRun;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Total load of all other instances, from the last report of a control instance. */
public final class ReportedLoad implements RemoteLoad {
  private Map<TargetRun, TargetLoad> loads = Map.of();
  private long reportedAtMs;

  public void replace(List<TargetLoad> reports, long nowMs) {
    Map<TargetRun, TargetLoad> latest = new HashMap<>();
    for (TargetLoad load : reports) {
      latest.put(load.run(), load);
    }
    loads = latest;
    reportedAtMs = nowMs;
  }

  @Override
  public Optional<TargetLoad> at(TargetRun run, long nowMs) {
    return nowMs - reportedAtMs >= MAX_AGE_MS
        ? Optional.empty()
        : Optional.ofNullable(loads.get(run));
  }
}
