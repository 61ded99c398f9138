package dev.caroblb.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Upper estimates of the duration of plain requests, from those of the same service that this
 * instance relayed, and from the latency objective.
 */
final class PlainDurations implements DurationEstimate {
  /**
   * Multiple of the latency objective that an estimate has at least. Targets miss the objective of
   * single requests under load.
   */
  private static final int MIN_OBJECTIVES = 4;

  private final Map<String, SmoothedUpperBound> byService = new HashMap<>();

  @Override
  public long upperMs(Exchange exchange) {
    long minMs = MIN_OBJECTIVES * exchange.route().objectiveMs();
    return Optional.ofNullable(byService.get(exchange.service()))
        .map(bound -> Math.max(minMs, Math.round(bound.value())))
        .orElse(minMs);
  }

  /** Records a request to which its target has sent a complete response. */
  void completed(Exchange exchange, long nowMs) {
    byService
        .computeIfAbsent(exchange.service(), service -> new SmoothedUpperBound(0))
        .observe((double) (nowMs - exchange.sentMs()));
  }
}
