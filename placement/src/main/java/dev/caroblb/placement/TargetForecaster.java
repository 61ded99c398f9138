package dev.caroblb.placement;

/** Recomputes the forecast of a target from its generations and its latest load report. */
final class TargetForecaster {
  // Other instances send more calls than usual to a target that has just started and looks empty.
  private static final long STARTUP_MS = 3_000;
  private static final double STARTUP_ARRIVAL_FACTOR = 3;
  // Targets report every second; a report is late when two later ones are missing.
  private static final long LATE_REPORT_MS = 3_000;
  // Growth of the standard deviation of the memory use while a report is late.
  private static final double LATE_REPORT_BLOCKS_PER_SECOND = 20;
  private static final double DEFAULT_TOKEN_INTERVAL_MS = 30;
  private static final double IDLE_MAX_RUNNING = 0.5;

  private final LengthEstimator lengths;

  TargetForecaster(LengthEstimator lengths) {
    this.lengths = lengths;
  }

  void update(
      Target target,
      String modelOrService,
      OtherInstances others,
      int targetCount,
      PredictiveSettings settings,
      long nowMs) {
    SurvivalCurve overallCurve = lengths.curve(modelOrService);
    double usualArrivals = others.expectedPlacements(nowMs - target.loadAtMs(), targetCount, nowMs);
    double trust = settings.othersTrust();
    double othersRunning =
        others.typicalRunning() + trust * (target.othersRunning() - others.typicalRunning());
    boolean startingUp = target.knownForMs(nowMs) < STARTUP_MS;
    double arrivals = startingUp ? usualArrivals * STARTUP_ARRIVAL_FACTOR : usualArrivals;
    long ageMs = Math.max(0, nowMs - target.loadAtMs());
    Forecast forecast = target.forecast;
    forecast.clear();
    double ownBlocks = addOwn(target);
    // The load of other instances after a missed report is unknown; it is assumed to stay the same.
    addOthers(target, overallCurve, Math.min(ageMs, LATE_REPORT_MS));
    double typicalBlocks = ownBlocks / Math.max(1, target.running().size());
    forecast.addNewCalls(arrivals, typicalBlocks, overallCurve);
    if (ageMs > LATE_REPORT_MS) {
      double blocks = LATE_REPORT_BLOCKS_PER_SECOND * (ageMs - LATE_REPORT_MS) / 1_000;
      forecast.addVariance(blocks * blocks);
    }
    // In a steady state as many calls of other instances end as arrive; a new target fills up.
    double running = target.running().size() + othersRunning + (startingUp ? arrivals : 0);
    int waiting = target.load().map(LoadReport::waiting).orElse(0);
    forecast.baseCostMs(running * settings.runningCostMs() + waiting * settings.waitingCostMs());
    forecast.capacity(
        target.load().map(LoadReport::totalBlocks).orElse(0), running < IDLE_MAX_RUNNING);
  }

  private double addOwn(Target target) {
    double blocks = 0;
    for (Generation generation : target.running()) {
      PlacementRequest request = generation.request();
      SurvivalCurve curve =
          lengths.curve(request.modelOrService(), request.callName(), request.workspace());
      blocks += generation.blocks();
      target.forecast.addRunning(generation.blocks(), generation.tokens(), curve);
    }
    return blocks;
  }

  private static void addOthers(Target target, SurvivalCurve overallCurve, long ageMs) {
    int running = target.othersRunning();
    if (running == 0) {
      return;
    }
    double tokenIntervalMs = target.health.tokenIntervalMs();
    int steps = (int) (ageMs / (tokenIntervalMs > 0 ? tokenIntervalMs : DEFAULT_TOKEN_INTERVAL_MS));
    double blocks = target.othersBlocks() / (double) running;
    target.forecast.addWithUnknownProgress(running, blocks, steps, overallCurve);
  }
}
