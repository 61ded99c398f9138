package dev.caroblb.scheduling;

import dev.caroblb.core.LogLine;
import dev.caroblb.targets.PlacementNeed;
import dev.caroblb.targets.ServiceUse;
import dev.caroblb.targets.Target;

/** Logs the way of a request through the queue, with its size and what was known at that time. */
final class PlacementLog {
  private static final System.Logger LOGGER = System.getLogger(PlacementLog.class.getName());

  /** Records that a request gets no room now and is queued. */
  void queued(QueuedRequest request, RejectionRule.Verdict verdict, Backlog ahead, ServiceUse use) {
    write(
        line("placement.queued", request)
            .with("outcome", verdict.outcome())
            .with("expected_ms", Math.round(verdict.expectedDelayMs()))
            .with("ahead", ahead.requests())
            .with("ahead_tokens", Math.round(ahead.tokens()))
            .with("most_free_tokens", Math.round(use.mostFreeTokens()))
            .with("running", use.requests())
            .with("places", use.places()));
  }

  /** Records that a request got a target, if it was queued before. */
  void placed(QueuedRequest request, Target target, long nowMs) {
    if (nowMs == request.queuedAtMs()) {
      return;
    }
    write(
        line("placement.placed", request)
            .with("target", target.info().id())
            .with("queued_ms", nowMs - request.queuedAtMs())
            .with("in_time", request.inTime(nowMs)));
  }

  /** Records that a request left the queue without a target, other than by a rejection. */
  void removed(QueuedRequest request, long nowMs) {
    write(
        line("placement.removed", request)
            .with("queued_ms", nowMs - request.queuedAtMs())
            .with("in_time", request.inTime(nowMs)));
  }

  private static LogLine line(String event, QueuedRequest request) {
    PlacementNeed need = request.need();
    return LogLine.of(event)
        .with("instance", request.instance())
        .with("ticket", request.ticket())
        .with("service", need.service())
        .with("priority", need.priority())
        .with("tokens", need.tokens())
        .with("repeats", request.repeats());
  }

  private static void write(LogLine line) {
    LOGGER.log(System.Logger.Level.INFO, line.toString());
  }
}
