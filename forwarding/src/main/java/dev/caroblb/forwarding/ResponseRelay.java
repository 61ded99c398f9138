package dev.caroblb.forwarding;

import dev.caroblb.core.LogLine;
import dev.caroblb.core.Payload;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.RetryReason;
import dev.caroblb.targets.Target;

/** Relays responses of targets to callers and decides whether to retry after failures. */
final class ResponseRelay {
  private static final System.Logger LOGGER = System.getLogger(ResponseRelay.class.getName());

  private final ExchangeTable exchanges;
  private final long maxResponseBytes;
  private final TargetPort port;
  private final CallObserver observer;
  private final Dispatcher dispatcher;
  private final CallFinisher finisher;
  private final PromptGuard guard;
  private final TakeUps takeUps;

  ResponseRelay(
      ExchangeTable exchanges,
      long maxResponseBytes,
      TargetPort port,
      CallObserver observer,
      Dispatcher dispatcher,
      CallFinisher finisher,
      PromptGuard guard,
      TakeUps takeUps) {
    this.exchanges = exchanges;
    this.maxResponseBytes = maxResponseBytes;
    this.port = port;
    this.observer = observer;
    this.dispatcher = dispatcher;
    this.finisher = finisher;
    this.guard = guard;
    this.takeUps = takeUps;
  }

  void head(Exchange exchange, ResponseHead head, long nowMs) {
    if (head.refused() && exchange.continuesFromCopy()) {
      targetFailed(exchange, "the engine no longer has the copied memory", nowMs);
      return;
    }
    if (head.refused()) {
      exchange.markNotRun();
      dispatcher.retry(exchange, RetryReason.TARGET_REFUSED, RefusalReason.TARGET_REFUSED, nowMs);
      return;
    }
    boolean expected = !exchange.callerStream().begun() || (head.success() && head.stream());
    if (!head.sentByTarget() || !expected) {
      targetFailed(exchange, "unusable response with status " + head.status(), nowMs);
      return;
    }
    if (head.serverError() && dispatcher.mayRetry(exchange, nowMs)) {
      targetFailed(exchange, "status " + head.status(), nowMs);
      return;
    }
    exchange.setHead(head);
    exchange.setProgress(AttemptProgress.HEAD);
    if (head.success() && head.stream()) {
      exchange.setStreaming(head);
      exchange.prefillDone();
    }
  }

  void body(Exchange exchange, Payload part, long nowMs) {
    dispatcher.meter().received(exchange, part.size());
    if (exchange.streaming()) {
      relayEvents(exchange, part, nowMs);
    } else if (!exchange.bufferedBody().add(part)) {
      targetFailed(exchange, "response too large", nowMs);
    } else {
      exchange.setProgress(AttemptProgress.CONTENT);
      port.acknowledge(exchange.call().id(), exchange.attempt());
    }
    exchanges.recount(exchange);
    freeMemory(nowMs);
  }

  /**
   * Fails the attempts with the largest responses while all responses together use too much memory.
   * The limit of a single response does not suffice: a faulty target may send one to each of many
   * requests.
   */
  private void freeMemory(long nowMs) {
    while (exchanges.heldBytes() > maxResponseBytes) {
      String cause = "responses use more than " + maxResponseBytes + " bytes";
      Exchange largest = exchanges.largest().orElseThrow();
      final long before = exchanges.heldBytes();
      targetFailed(largest, cause, nowMs);
      exchanges.recount(largest);
      if (exchanges.heldBytes() >= before) {
        // A retry keeps the events that its caller has not read.
        finisher.fail(largest, RefusalReason.CONNECTION_LOST, cause, nowMs);
      }
    }
  }

  private void relayEvents(Exchange exchange, Payload part, long nowMs) {
    Payload events = exchange.framing().add(part);
    if (exchange.framing().overLimit()) {
      targetFailed(exchange, "event too large", nowMs);
      return;
    }
    if (events.size() > 0) {
      takeUps.eventReceived(exchange, nowMs);
      if (exchange.progress() != AttemptProgress.CONTENT) {
        exchange.setProgress(AttemptProgress.CONTENT);
        guard.answered(exchange, nowMs);
      }
      exchange
          .recordPart(nowMs)
          .ifPresentOrElse(
              observer::partGap, () -> observer.responded(nowMs - exchange.arrivedMs()));
    }
    boolean relayed = exchange.callerStream().forward(events);
    if (events.size() > 0) {
      exchange.attemptTiming().ifPresent(timing -> timing.eventsReceived(relayed, nowMs));
    }
    if (relayed) {
      port.acknowledge(exchange.call().id(), exchange.attempt());
    }
  }

  void callerReady(Exchange exchange, long nowMs) {
    boolean flushed = exchange.callerStream().flush();
    exchanges.recount(exchange);
    if (!flushed) {
      return;
    }
    if (exchange.targetEnded()) {
      completeStream(exchange, nowMs);
      return;
    }
    port.acknowledge(exchange.call().id(), exchange.attempt());
  }

  void ended(Exchange exchange, long nowMs) {
    if (!exchange.streaming()) {
      completeBuffered(exchange, nowMs);
      return;
    }
    if (exchange.incompleteStream()) {
      targetFailed(exchange, "stream ended within or before an event", nowMs);
      return;
    }
    exchange.setTargetEnded();
    if (exchange.callerStream().flush()) {
      completeStream(exchange, nowMs);
    }
  }

  /**
   * Ends a request at the drain limit. A stream that its target has completed goes to the caller as
   * a whole, which may take the time that is left for writing.
   */
  void endAtDrainLimit(Exchange exchange, long nowMs) {
    if (exchange.targetEnded()) {
      completeStream(exchange, nowMs);
      return;
    }
    finisher.fail(exchange, RefusalReason.STOPPING, "the instance is shutting down", nowMs);
  }

  private void completeStream(Exchange exchange, long nowMs) {
    exchange.target().ifPresent(Target::succeeded);
    exchange.callerStream().complete();
    finisher.finish(exchange, "completed", "", nowMs);
  }

  private void completeBuffered(Exchange exchange, long nowMs) {
    if (exchange.head().isEmpty()) {
      targetFailed(exchange, "response without a head", nowMs);
      return;
    }
    ResponseHead head = exchange.head().get();
    if (head.claimsNotRun()) {
      targetFailed(
          exchange,
          "status " + head.status() + " from a target that may have run the request",
          nowMs);
      return;
    }
    if (!head.serverError()) {
      exchange.target().ifPresent(Target::succeeded);
    }
    if (head.success()) {
      guard.answered(exchange, nowMs);
    }
    observer.responded(nowMs - exchange.arrivedMs());
    exchange.call().port().respond(head, exchange.bufferedBody().contents());
    finisher.finish(exchange, "answered", "status " + head.status(), nowMs);
  }

  /** Handles an attempt that ended without a complete response. */
  void attemptFailed(Exchange exchange, boolean sent, String cause, long nowMs) {
    if (sent || exchange.continuesFromCopy()) {
      targetFailed(exchange, cause, nowMs);
      return;
    }
    exchange.markNotRun();
    exchange.target().ifPresent(target -> target.failed(nowMs));
    exchange.target().ifPresent(target -> target.connectionLost(nowMs));
    dispatcher.retry(exchange, RetryReason.CONNECT_FAILED, RefusalReason.TARGET_UNREACHABLE, nowMs);
  }

  /** Handles a failed attempt whose request may have run: retries if allowed, else ends it. */
  void targetFailed(Exchange exchange, String cause, long nowMs) {
    exchange.target().ifPresent(target -> target.failed(nowMs));
    boolean retry = dispatcher.mayRetry(exchange, nowMs);
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of("forwarding.failed")
            .with("request", exchange.call().requestId())
            .with("target", exchange.target().map(t -> t.info().id().name()).orElse("none"))
            .with("cause", cause)
            .with("progress", exchange.progress())
            .with("again", retry)
            .toString());
    if (!retry) {
      finisher.fail(exchange, RefusalReason.CONNECTION_LOST, cause, nowMs);
      return;
    }
    RetryReason reason =
        exchange.callerStream().begun() ? RetryReason.STREAM_CONTINUED : RetryReason.TARGET_FAILED;
    dispatcher.retry(exchange, reason, RefusalReason.CONNECTION_LOST, nowMs);
  }
}
