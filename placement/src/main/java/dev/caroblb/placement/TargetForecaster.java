package dev.caroblb.placement;

/** Recomputes the forecast of a target from its running set and its latest report. */
final class TargetForecaster {
  // Others send more than their usual share to a target that just started and looks empty.
  private static final long STARTED_MS = 3_000;
  private static final double STARTED_FACTOR = 3;
  // Announcements come each second; two missed ones make a report late.
  private static final long LATE_REPORT_MS = 3_000;
  private static final double BLOCKS_PER_LATE_SECOND = 20;
  private static final double DEFAULT_STEP_MS = 30;
  private static final double IDLE_RUNNING = 0.5;

  private final LengthEstimator lengths;

  TargetForecaster(LengthEstimator lengths) {
    this.lengths = lengths;
  }

  void update(
      Target target,
      String kind,
      OtherInstances others,
      int alike,
      PredictiveSettings settings,
      long nowMs) {
    SurvivalCurve pooled = lengths.curve(kind);
    double arrived = others.expectedPlacements(nowMs - target.loadAtMs(), alike, nowMs);
    double trust = settings.othersTrust();
    double othersRunning =
        others.typicalRunning() + trust * (target.othersRunning() - others.typicalRunning());
    boolean started = target.knownForMs(nowMs) < STARTED_MS;
    double arrivedHere = started ? arrived * STARTED_FACTOR : arrived;
    long ageMs = Math.max(0, nowMs - target.loadAtMs());
    Forecast forecast = target.forecast;
    forecast.clear();
    double ownBlocks = addOwn(target);
    // What others do after a missed report is unknown; their load is taken to stay.
    addOthers(target, pooled, Math.min(ageMs, LATE_REPORT_MS));
    double typicalBlocks = ownBlocks / Math.max(1, target.running().size());
    forecast.add(arrivedHere, typicalBlocks, pooled);
    if (ageMs > LATE_REPORT_MS) {
      double blocks = BLOCKS_PER_LATE_SECOND * (ageMs - LATE_REPORT_MS) / 1_000;
      forecast.addVariance(blocks * blocks);
    }
    // In a steady state as many of the others' calls end as arrive; only a new target fills up.
    double running = target.running().size() + othersRunning + (started ? arrivedHere : 0);
    int waiting = target.load().map(LoadReport::waiting).orElse(0);
    forecast.baseCostMs(running * settings.runningCostMs() + waiting * settings.waitingCostMs());
    forecast.room(target.load().map(LoadReport::totalBlocks).orElse(0), running < IDLE_RUNNING);
  }

  private double addOwn(Target target) {
    double blocks = 0;
    for (Generation generation : target.running()) {
      PlacementRequest request = generation.request();
      SurvivalCurve curve = lengths.curve(request.kind(), request.callName(), request.workspace());
      blocks += generation.blocks();
      target.forecast.add(generation.blocks(), generation.tokens(), curve);
    }
    return blocks;
  }

  private static void addOthers(Target target, SurvivalCurve pooled, long ageMs) {
    int running = target.othersRunning();
    if (running == 0) {
      return;
    }
    double stepMs = target.health.tokenIntervalMs();
    int steps = (int) (ageMs / (stepMs > 0 ? stepMs : DEFAULT_STEP_MS));
    double blocks = target.othersBlocks() / (double) running;
    target.forecast.addUnknown(running, blocks, steps, pooled);
  }
}
