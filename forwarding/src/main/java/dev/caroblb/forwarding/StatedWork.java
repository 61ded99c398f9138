package dev.caroblb.forwarding;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The sum of the work of all other instances, as a control instance last stated it. */
final class StatedWork implements OtherWork {
  private Map<TargetRun, TargetWork> work = Map.of();
  private long statedAtMs;

  void replace(List<TargetWork> stated, long nowMs) {
    Map<TargetRun, TargetWork> latest = new HashMap<>();
    for (TargetWork entry : stated) {
      latest.put(TargetRun.of(entry), entry);
    }
    work = latest;
    statedAtMs = nowMs;
  }

  @Override
  public Optional<TargetWork> at(TargetRun run, long nowMs) {
    return nowMs - statedAtMs >= PlacementCoordinator.STALE_MS
        ? Optional.empty()
        : Optional.ofNullable(work.get(run));
  }
}
