package dev.caroblb.targets;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LogLine;
import dev.caroblb.core.TargetRun;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Speeds of targets, learned from the observations of all instances. A target whose speed is within
 * the dead band counts as usual, so that equal targets are chosen by load alone.
 */
public final class SpeedTable implements TargetSpeeds {
  /** Deviation from the usual time above which a target counts as slow or fast. */
  private static final double DEAD_BAND = 0.15;

  /** A slow or fast target counts as usual again below this deviation, so that it does not flap. */
  private static final double RETURN_BAND = 0.1;

  private static final long UPDATE_INTERVAL_MS = 1_000;

  /** A peer reports once a second; more frequent observations would give it more weight. */
  private static final long MIN_PEER_INTERVAL_MS = 500;

  /** Maximum number of target runs; exceeds the number of targets of one deployment. */
  private static final int MAX_RUNS = 24_000;

  /** Maximum number of speeds in one report, to keep the message small. */
  private static final int MAX_REPORTED = 1_024;

  private static final System.Logger LOGGER = System.getLogger(SpeedTable.class.getName());

  private final Map<TargetRun, ObservedTimes> observed = new HashMap<>();
  private final Map<InstanceId, Long> observedMs = new HashMap<>();
  private Map<TargetRun, TargetSpeed> speeds = Map.of();
  private Set<TargetRun> known = Set.of();
  private long updatedMs = Long.MIN_VALUE / 2;

  /** Adds the observations of an instance; those of unknown target runs are ignored. */
  public void observed(InstanceId peer, List<SpeedObservation> observations, long nowMs) {
    Long last = observedMs.get(peer);
    if (observations.isEmpty() || (last != null && nowMs - last < MIN_PEER_INTERVAL_MS)) {
      return;
    }
    observedMs.put(peer, nowMs);
    Set<TargetRun> added = new HashSet<>();
    for (SpeedObservation observation : observations) {
      boolean usable = known.contains(observation.run()) && added.add(observation.run());
      if (usable && observed.size() < MAX_RUNS) {
        observed
            .computeIfAbsent(observation.run(), run -> new ObservedTimes(nowMs))
            .add(observation.samples(), nowMs);
      }
    }
  }

  /** Computes the speeds anew if they are due, and forgets runs that ended. */
  public void update(Supplier<List<TargetInfo>> knownTargets, long nowMs) {
    if (nowMs - updatedMs < UPDATE_INTERVAL_MS) {
      return;
    }
    updatedMs = nowMs;
    List<TargetInfo> targets = knownTargets.get();
    known = targets.stream().map(TargetInfo::run).collect(Collectors.toUnmodifiableSet());
    observed.keySet().retainAll(known);
    observedMs.values().removeIf(ms -> nowMs - ms >= RemoteLoad.MAX_AGE_MS);
    Map<String, List<TargetRun>> runsByService = new HashMap<>();
    for (TargetInfo info : targets) {
      ObservedTimes times = observed.get(info.run());
      if (times != null) {
        times.age(nowMs);
        runsByService.computeIfAbsent(info.service(), s -> new ArrayList<>()).add(info.run());
      }
    }
    Map<TargetRun, TargetSpeed> latest = new HashMap<>();
    runsByService.values().forEach(runs -> addSpeeds(runs, latest));
    speeds = latest;
  }

  private void addSpeeds(List<TargetRun> runs, Map<TargetRun, TargetSpeed> latest) {
    ServiceTimes service = new ServiceTimes(runs.stream().map(observed::get).toList());
    for (TargetRun run : runs) {
      ObservedTimes times = observed.get(run);
      double slowness = service.slowness(times);
      boolean outside = Math.abs(slowness - 1) > (times.outsideBand() ? RETURN_BAND : DEAD_BAND);
      int permille = outside ? (int) (TargetSpeed.USUAL / slowness) : TargetSpeed.USUAL;
      if (outside != times.outsideBand()) {
        times.setOutsideBand(outside);
        log(run, permille);
      }
      latest.put(
          run,
          new TargetSpeed(
              run,
              permille,
              service.promptTokenMicros(),
              outside ? service.pausesMs(slowness) : List.of()));
    }
  }

  /** Number of target runs with observations. */
  int runs() {
    return observed.size();
  }

  private static void log(TargetRun run, int permille) {
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of("target.speed")
            .with("target", run.target())
            .with("permille", permille)
            .with("usual", permille == TargetSpeed.USUAL)
            .toString());
  }

  @Override
  public Optional<TargetSpeed> at(TargetRun run, long nowMs) {
    return Optional.ofNullable(speeds.get(run));
  }

  @Override
  public List<TargetSpeed> all() {
    return speeds.values().stream().limit(MAX_REPORTED).toList();
  }
}
