package dev.caroblb.bench;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.TargetId;
import dev.caroblb.placement.LoadReport;
import dev.caroblb.placement.TargetState;
import dev.caroblb.placement.TargetView;
import dev.caroblb.standins.engine.AnnouncementFeed;
import dev.caroblb.standins.engine.AnnouncementSettings;
import dev.caroblb.standins.engine.BatchingEngine;
import dev.caroblb.standins.engine.EngineLoad;
import dev.caroblb.standins.engine.EngineModel;
import dev.caroblb.standins.engine.EngineSettings;
import java.util.List;
import java.util.Optional;

/** An engine of a run with its announcement feed; a new incarnation starts empty. */
final class SimEngine {
  private static final int DOMAINS = 3;

  final int index;
  final TargetId id;
  EngineModel model;
  AnnouncementFeed feed;
  boolean alive = true;
  long scheduledStepUs = -1;
  private final AnnouncementSettings announcements;
  private long incarnation;
  private long earlierPreemptions;

  SimEngine(int index, long loadLagUs, long seed) {
    this.index = index;
    this.id = new TargetId("engine-" + index);
    AnnouncementSettings usual = AnnouncementSettings.defaults();
    this.announcements =
        new AnnouncementSettings(loadLagUs, usual.cacheLagUs(), usual.cacheLossProbability());
    start(seed);
  }

  private void start(long seed) {
    incarnation++;
    model = new BatchingEngine(EngineSettings.defaults());
    feed = new AnnouncementFeed(announcements, seed);
    alive = true;
    scheduledStepUs = -1;
  }

  void restart(long seed) {
    earlierPreemptions += model.load(0).preemptions();
    start(seed);
  }

  long preemptions() {
    return earlierPreemptions + model.load(0).preemptions();
  }

  FailureDomain domain() {
    return new FailureDomain("domain-" + index % DOMAINS);
  }

  long incarnation() {
    return incarnation;
  }

  TargetView view(TargetState state, Optional<EngineLoad> load, long arrivalUs) {
    return new TargetView(
        id,
        incarnation,
        domain(),
        "127.0.0.1:" + (9_000 + index),
        List.of(CallType.MODEL.toString()),
        state,
        load.map(value -> report(value, arrivalUs)));
  }

  private static LoadReport report(EngineLoad load, long arrivalUs) {
    return new LoadReport(
        load.running(),
        load.waiting(),
        load.usedBlocks(),
        load.totalBlocks(),
        load.preemptions(),
        (arrivalUs - load.atUs()) / 1_000);
  }
}
