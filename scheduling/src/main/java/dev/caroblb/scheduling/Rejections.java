package dev.caroblb.scheduling;

import dev.caroblb.core.LogLine;
import dev.caroblb.targets.PlacementNeed;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Rejects requests with a time to return, and remembers their callers until then. */
final class Rejections {
  private static final System.Logger LOGGER = System.getLogger(Rejections.class.getName());

  private final RoomForecast forecast;
  private final RejectedCallers callers = new RejectedCallers();
  private final ReturnSchedule schedule;
  private long rejected;

  Rejections(RoomForecast forecast, RandomGenerator random) {
    this.forecast = forecast;
    schedule = new ReturnSchedule(random);
  }

  /** Number of rejections by this process. */
  long count() {
    return rejected;
  }

  Optional<RejectedCallers.Rejection> earlier(PlacementNeed need, long nowMs) {
    return callers.find(need, nowMs);
  }

  /** Forgets the rejection of a caller that is queued or placed again. */
  void accepted(PlacementNeed need, long nowMs) {
    callers.accepted(need, nowMs);
  }

  /** Rejects a request whose room is expected after a time. */
  PeerMessage.PlacementRejected reject(QueuedRequest request, double expectedDelayMs, long nowMs) {
    PlacementNeed need = request.need();
    double rate =
        forecast.rate(need.service(), nowMs).map(RoomForecast.Rate::tokensPerMs).orElse(0.0);
    double shareMs = rate > 0 ? need.tokens() / rate : 0;
    long leftMs = need.leftMs() - (nowMs - request.queuedAtMs());
    long retryAfterMs = schedule.delayMs(need.service(), expectedDelayMs, shareMs, leftMs, nowMs);
    callers.remember(
        need,
        new RejectedCallers.Rejection(
            request.firstArrivalMs(), request.startTag(), nowMs + retryAfterMs, request.repeats()));
    log(need, Math.round(expectedDelayMs), retryAfterMs, false);
    return new PeerMessage.PlacementRejected(request.ticket(), retryAfterMs);
  }

  /** Rejects a caller that returned before its time, with the rest of it. */
  PeerMessage.PlacementRejected rejectEarly(
      PlacementNeed need, long ticket, RejectedCallers.Rejection earlier, long nowMs) {
    callers.remember(need, earlier.repeated());
    long restMs = schedule.restMs(earlier.returnMs(), need.leftMs(), nowMs);
    log(need, restMs, restMs, true);
    return new PeerMessage.PlacementRejected(ticket, restMs);
  }

  private void log(PlacementNeed need, long expectedMs, long retryAfterMs, boolean early) {
    rejected++;
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of("placement.rejected")
            .with("service", need.service())
            .with("workspace", need.workspace().orElse("none"))
            .with("priority", need.priority())
            .with("tokens", need.tokens())
            .with("expected_ms", expectedMs)
            .with("retry_after_ms", retryAfterMs)
            .with("useful_ms", need.usefulMs())
            .with("early", early)
            .toString());
  }

  void expire(long nowMs) {
    callers.expire(nowMs);
  }
}
