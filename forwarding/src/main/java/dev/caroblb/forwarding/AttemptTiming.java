package dev.caroblb.forwarding;

import dev.caroblb.targets.SpeedObservations;
import dev.caroblb.targets.Target;
import dev.caroblb.targets.TargetLoad;
import dev.caroblb.targets.TargetPool;

/** Measures the events of one attempt of a generation, to learn the speed of its target. */
final class AttemptTiming {
  /** Time in milliseconds after which the number of requests at the target is counted again. */
  private static final long LOAD_INTERVAL_MS = 1_000;

  private final SpeedObservations observations;
  private final TargetPool pool;
  private final Target target;
  private final long sentMs;
  private final long promptTokens;
  private boolean firstEventCounts;
  private boolean pauseCounts;
  private long lastMs;
  private long requests;
  private long loadUntilMs = Long.MIN_VALUE;

  /**
   * @param wholePrompt whether the target reads the whole prompt before the first event, which is
   *     not so for a continuation
   */
  AttemptTiming(
      SpeedObservations observations,
      TargetPool pool,
      Target target,
      boolean wholePrompt,
      long nowMs) {
    this.observations = observations;
    this.pool = pool;
    this.target = target;
    this.sentMs = nowMs;
    this.promptTokens = pool.load(target, nowMs).prefillTokens();
    this.firstEventCounts = wholePrompt && promptTokens > 0;
  }

  /**
   * Records a part with events.
   *
   * @param relayed whether the caller took the part; the pause that follows otherwise depends on
   *     the caller
   */
  void eventsReceived(boolean relayed, long nowMs) {
    if (firstEventCounts) {
      observations.firstEvent(target.info().run(), promptTokens, nowMs - sentMs);
      firstEventCounts = false;
    }
    if (pauseCounts) {
      observations.pause(target.info().run(), requests(nowMs), nowMs - lastMs);
    }
    pauseCounts = relayed;
    lastMs = nowMs;
  }

  private long requests(long nowMs) {
    if (nowMs >= loadUntilMs) {
      TargetLoad load = pool.load(target, nowMs);
      requests = load.requests();
      loadUntilMs = nowMs + LOAD_INTERVAL_MS;
    }
    return requests;
  }
}
