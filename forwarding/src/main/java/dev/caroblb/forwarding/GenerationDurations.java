package dev.caroblb.forwarding;

import dev.caroblb.routing.EngineLimits;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Upper estimates of the duration of generations, from those of the same service that this instance
 * relayed: the time until the first event, and the time per token for the maximum number of output
 * tokens.
 */
final class GenerationDurations implements DurationEstimate {
  /** Used for a service of which no generation has been observed yet. */
  static final long DEFAULT_FIRST_EVENT_MS = 1_000;

  /** Used for a service of which no generation has been observed yet. */
  static final double DEFAULT_TOKEN_MS = 30;

  /** The time between a few events says little about the time per token. */
  private static final long MIN_OBSERVED_TOKENS = 64;

  private record Pace(SmoothedUpperBound firstEventMs, SmoothedUpperBound tokenMs) {
    Pace() {
      this(
          new SmoothedUpperBound(DEFAULT_FIRST_EVENT_MS), new SmoothedUpperBound(DEFAULT_TOKEN_MS));
    }
  }

  private final Map<String, Pace> byService = new HashMap<>();
  private Map<String, EngineLimits> engineLimits = Map.of();

  void setEngineLimits(Map<String, EngineLimits> limitsByService) {
    engineLimits = Map.copyOf(limitsByService);
  }

  @Override
  public long upperMs(Exchange exchange) {
    Pace pace = byService.getOrDefault(exchange.service(), new Pace());
    long maxTokens =
        exchange.call().generationSize().map(GenerationSize::maxOutputTokens).orElse(0L);
    return Math.round(pace.firstEventMs().value() + maxTokens * pace.tokenMs().value());
  }

  /** Records a generation that has completed. */
  void completed(Exchange exchange) {
    if (exchange.call().generationSize().isEmpty() || exchange.framing().events() == 0) {
      return;
    }
    Pace pace = byService.computeIfAbsent(exchange.service(), service -> new Pace());
    pace.firstEventMs().observe((double) exchange.timing().firstPartAfterSendMs());
    long tokens = (exchange.framing().events() - 1) * eventTokens(exchange.service());
    if (tokens >= MIN_OBSERVED_TOKENS) {
      pace.tokenMs().observe((double) exchange.timing().streamedMs() / tokens);
    }
  }

  private int eventTokens(String service) {
    return Optional.ofNullable(engineLimits.get(service)).map(EngineLimits::eventTokens).orElse(1);
  }
}
