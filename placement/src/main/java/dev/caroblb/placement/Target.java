package dev.caroblb.placement;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.TargetId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** State of one incarnation of a target as this instance knows it. Owned by a {@link Fleet}. */
public final class Target {
  // Ended generations are kept to subtract them from load reports made before they ended. Reports
  // are not expected to be older than this.
  private static final long ENDED_RETENTION_MS = 5_000;

  private record EndedGeneration(long placedAtMs, long endedAtMs, int blocks) {}

  final Forecast forecast = new Forecast();
  final TargetHealth health = new TargetHealth();
  final PrefixDirectory prefixes = new PrefixDirectory();
  private final long firstSeenMs;
  private final List<Generation> running = new ArrayList<>();
  private final ArrayDeque<EndedGeneration> ended = new ArrayDeque<>();
  private TargetView view;
  private Optional<LoadReport> load = Optional.empty();
  private long loadAtMs;
  private int placedSinceReport;
  private int othersRunning;
  private int othersBlocks;

  Target(TargetView view, long nowMs) {
    this.view = view;
    this.firstSeenMs = nowMs;
    this.loadAtMs = nowMs;
  }

  void update(TargetView newView, long nowMs) {
    view = newView;
    newView.load().filter(report -> !report.inconsistent()).ifPresent(r -> applyLoad(r, nowMs));
  }

  private void applyLoad(LoadReport report, long nowMs) {
    load = Optional.of(report);
    loadAtMs = nowMs - report.ageMs();
    while (!ended.isEmpty() && ended.peekFirst().endedAtMs < nowMs - ENDED_RETENTION_MS) {
      ended.removeFirst();
    }
    int ownRunning = 0;
    int ownBlocks = 0;
    placedSinceReport = 0;
    for (Generation generation : running) {
      if (generation.placedAtMs() > loadAtMs) {
        placedSinceReport++;
        continue;
      }
      ownRunning++;
      ownBlocks += generation.suspended() ? 0 : generation.blocks();
    }
    for (EndedGeneration generation : ended) {
      if (generation.endedAtMs > loadAtMs && generation.placedAtMs <= loadAtMs) {
        ownRunning++;
        ownBlocks += generation.blocks;
      }
    }
    othersRunning = Math.max(0, report.running() + report.waiting() - ownRunning);
    othersBlocks = othersRunning == 0 ? 0 : Math.max(0, report.usedBlocks() - ownBlocks);
  }

  void add(Generation generation) {
    running.add(generation);
    placedSinceReport++;
  }

  void remove(Generation generation, long nowMs) {
    running.remove(generation);
    ended.addLast(new EndedGeneration(generation.placedAtMs(), nowMs, generation.blocks()));
  }

  public TargetId id() {
    return view.target();
  }

  public TargetView view() {
    return view;
  }

  public FailureDomain domain() {
    return view.domain();
  }

  /** Whether the target may receive new work, regardless of its load. */
  public boolean eligible() {
    return view.state() == TargetState.AVAILABLE && !health.ejected();
  }

  /** Generations of this instance at the target. */
  public List<Generation> running() {
    return running;
  }

  /** Latest load report. */
  public Optional<LoadReport> load() {
    return load;
  }

  /** Time at which the latest load report was made. */
  public long loadAtMs() {
    return loadAtMs;
  }

  /** Calls that this instance placed there since the time of the latest report. */
  public int placedSinceReport() {
    return placedSinceReport;
  }

  /** Generations of other instances at the time of the latest report. */
  public int othersRunning() {
    return othersRunning;
  }

  /** Blocks of memory held for other instances at the time of the latest report. */
  public int othersBlocks() {
    return othersBlocks;
  }

  /** Time since this incarnation was first seen. */
  public long knownForMs(long nowMs) {
    return nowMs - firstSeenMs;
  }

  Placement placement(int enginePriority) {
    return new Placement(
        view.target(), view.incarnation(), view.domain(), view.address(), enginePriority);
  }
}
