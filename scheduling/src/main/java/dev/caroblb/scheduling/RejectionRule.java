package dev.caroblb.scheduling;

import dev.caroblb.scheduling.RoomForecast.Demand;
import dev.caroblb.targets.ServiceUse;
import java.util.Optional;

/**
 * Decides whether a request that gets no room now may wait. It may if it is expected to start in
 * time, or late with room that requests in time leave idle, or if too little is known.
 */
final class RejectionRule {
  /** Queued requests are rejected only if they miss their time by more than this. */
  private static final long QUEUED_MARGIN_MS = 250;

  /** The margin for queued requests grows by this fraction of their expected delay. */
  private static final double QUEUED_MARGIN_FRACTION = 0.1;

  /**
   * Fraction of the expected delay after which idle room may come already, because demand falls
   * when a burst ends. Only callers that returned wait for that: they have no other attempt.
   */
  private static final double RETURNED_DELAY_FRACTION = 0.5;

  /** What happens to a request. */
  enum Outcome {
    KEEP,
    /** Keep it behind the requests that can meet their objective. */
    KEEP_LATE,
    REJECT
  }

  /**
   * A decision.
   *
   * @param outcome what happens to the request
   * @param expectedDelayMs time until room for it is expected; 0 if not known
   */
  record Verdict(Outcome outcome, double expectedDelayMs) {}

  private static final Verdict KEEP = new Verdict(Outcome.KEEP, 0);

  private final RoomForecast forecast;

  RejectionRule(RoomForecast forecast) {
    this.forecast = forecast;
  }

  /**
   * Decides about a request.
   *
   * @param known whether the request was kept before, and is rejected only with a margin
   */
  Verdict decide(QueuedRequest request, Backlog ahead, ServiceUse use, boolean known, long nowMs) {
    if (ahead.requests() == 0
        && (request.need().tokens() <= use.mostFreeTokens() || use.underHalf())) {
      return KEEP;
    }
    String service = request.need().service();
    int priority = request.need().priority();
    if (request.inTime(nowMs)) {
      Demand demand = demand(ahead.tokens(), ahead.requests(), use);
      Optional<Double> delayMs = forecast.delayMs(service, demand, priority, nowMs);
      if (delayMs.isEmpty() || startsBy(request.inTimeUntilMs(), delayMs.get(), known, nowMs)) {
        return KEEP;
      }
    }
    Demand ifLate = demand(ahead.tokensIfLate(), ahead.requestsIfLate(), use);
    Optional<Double> lateMs = forecast.idleDelayMs(service, ifLate, nowMs);
    if (lateMs.isEmpty()) {
      return KEEP;
    }
    boolean returned = request.repeats() > 0;
    double shortestMs = returned ? RETURNED_DELAY_FRACTION * lateMs.get() : lateMs.get();
    Outcome outcome =
        startsBy(request.usefulUntilMs(), shortestMs, known, nowMs)
            ? Outcome.KEEP_LATE
            : Outcome.REJECT;
    return new Verdict(outcome, lateMs.get());
  }

  /**
   * Counts only what is ahead. With the size of the request itself, the queue would always have
   * room for a small one where a large one is rejected.
   */
  private static Demand demand(double tokensAhead, long requestsAhead, ServiceUse use) {
    return new Demand(tokensAhead, requestsAhead, use.placesScarce());
  }

  private static boolean startsBy(long untilMs, double delayMs, boolean known, long nowMs) {
    double marginMs = known ? QUEUED_MARGIN_MS + QUEUED_MARGIN_FRACTION * delayMs : 0;
    return nowMs + delayMs <= untilMs + marginMs;
  }
}
