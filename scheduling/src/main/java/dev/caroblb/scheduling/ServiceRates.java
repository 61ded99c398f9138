package dev.caroblb.scheduling;

import dev.caroblb.scheduling.RoomForecast.Rate;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Observed rates of one service: freed room, and new requests by priority. */
final class ServiceRates {
  private static final long INTERVAL_MS = 250;

  /** Freed room counts for this number of intervals: 4 s, some generations per engine. */
  private static final int FREED_INTERVALS = 16;

  /** New requests count for this number of intervals: 2 s, to notice the end of a burst. */
  private static final int DEMAND_INTERVALS = 8;

  private static final long LONG_INTERVAL_MS = 2_000;

  /** New requests also count for this number of longer intervals: 30 s, longer than bursts. */
  private static final int LONG_DEMAND_INTERVALS = 15;

  /** Time in milliseconds to observe before the first forecast. */
  private static final long MIN_OBSERVED_MS = 1_000;

  /** Number of requests that must have ended before a forecast. */
  private static final int MIN_ENDS = 8;

  /** Maximum number of priorities that are told apart; others count as the last one. */
  private static final int MAX_PRIORITIES = 16;

  private final OpenPlacements placements = new OpenPlacements();
  private final SlidingSum freedTokens = new SlidingSum(INTERVAL_MS, FREED_INTERVALS);
  private final SlidingSum freedPlaces = new SlidingSum(INTERVAL_MS, FREED_INTERVALS);
  private final TreeMap<Integer, SlidingSum> demand = new TreeMap<>();
  private final SlidingSum longDemand = new SlidingSum(LONG_INTERVAL_MS, LONG_DEMAND_INTERVALS);
  private long sinceMs = Long.MIN_VALUE;
  private long heardMs;

  OpenPlacements placements() {
    return placements;
  }

  /** Records that load was reported; after a gap the observation starts anew. */
  void observed(long nowMs) {
    if (sinceMs == Long.MIN_VALUE || nowMs - heardMs > FREED_INTERVALS * INTERVAL_MS) {
      sinceMs = nowMs;
    }
    heardMs = nowMs;
  }

  void freed(long tokens, long requests, long nowMs) {
    freedTokens.add(tokens, nowMs);
    freedPlaces.add(requests, nowMs);
  }

  void requested(int priority, long tokens, long nowMs) {
    int key = Math.max(0, Math.min(MAX_PRIORITIES - 1, priority));
    demand
        .computeIfAbsent(key, each -> new SlidingSum(INTERVAL_MS, DEMAND_INTERVALS))
        .add(tokens, nowMs);
    longDemand.add(tokens, nowMs);
  }

  /** Tokens per millisecond that new requests before a priority need. */
  double demandPerMs(int belowPriority, long nowMs) {
    double tokens = 0;
    for (Map.Entry<Integer, SlidingSum> each : demand.headMap(belowPriority).entrySet()) {
      tokens += each.getValue().sum(nowMs);
    }
    return tokens / spanMs(INTERVAL_MS, DEMAND_INTERVALS, nowMs);
  }

  /**
   * Tokens per millisecond that all new requests are expected to need while a late one waits. It
   * waits longer than most bursts last, so demand is not taken as higher than in the last 30 s.
   */
  double lastingDemandPerMs(long nowMs) {
    double lasting = longDemand.sum(nowMs) / spanMs(LONG_INTERVAL_MS, LONG_DEMAND_INTERVALS, nowMs);
    return Math.min(lasting, demandPerMs(Integer.MAX_VALUE, nowMs));
  }

  /**
   * The rate at which room is freed. What ended in the last seconds is too low while engines fill
   * up, and what the open placements are expected to free misses those of an earlier coordinator;
   * so the larger of the two counts.
   */
  Optional<Rate> rate(long nowMs) {
    double places = freedPlaces.sum(nowMs);
    if (sinceMs == Long.MIN_VALUE || nowMs - sinceMs < MIN_OBSERVED_MS || places < MIN_ENDS) {
      return Optional.empty();
    }
    double spanMs = spanMs(INTERVAL_MS, FREED_INTERVALS, nowMs);
    HoldTimes held = placements.holdTimes();
    return Optional.of(
        new Rate(
            Math.max(freedTokens.sum(nowMs) / spanMs, held.tokensPerMs()),
            Math.max(places / spanMs, held.requestsPerMs())));
  }

  private double spanMs(long intervalMs, int intervals, long nowMs) {
    // The current interval counts as far as it has passed.
    long window = (intervals - 1) * intervalMs + Math.floorMod(nowMs, intervalMs);
    return Math.max(INTERVAL_MS, Math.min(window, nowMs - sinceMs));
  }
}
