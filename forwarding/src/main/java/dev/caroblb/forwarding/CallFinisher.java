package dev.caroblb.forwarding;

import dev.caroblb.core.LogLine;
import dev.caroblb.core.Refusal;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.scheduling.PeerMessage.PlacementRejected;
import java.util.Optional;

/** Ends requests: with a refusal, with an aborted stream, or because the caller disconnected. */
final class CallFinisher {
  private static final System.Logger LOGGER = System.getLogger(CallFinisher.class.getName());

  private final ExchangeTable exchanges;
  private final TargetPort port;
  private final CallObserver observer;
  private final CoordinatorClient coordinator;
  private final DrainAdmission drain;

  CallFinisher(
      ExchangeTable exchanges,
      TargetPort port,
      CallObserver observer,
      CoordinatorClient coordinator,
      DrainAdmission drain) {
    this.exchanges = exchanges;
    this.port = port;
    this.observer = observer;
    this.coordinator = coordinator;
    this.drain = drain;
  }

  /** Refuses a request for which no exchange was created. */
  void refuse(ForwardCall call, RefusalReason reason, long table, long nowMs) {
    refuse(call, Refusal.of(reason).retryAfter(RetryAfter.delayMs(reason)), table, nowMs);
  }

  /** Refuses a request for which no exchange was created. */
  void refuse(ForwardCall call, Refusal refusal, long table, long nowMs) {
    observer.refused(refusal.reason());
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of("forwarding.refused")
            .with("request", call.requestId())
            .with("reason", refusal.reason().wireName())
            .with("message", refusal.message())
            .with("table", table)
            .with("drain_left_ms", drain.logValue(nowMs))
            .toString());
    call.port().refuse(refusal);
  }

  /** Ends a request without a complete response: aborts its stream, or refuses the request. */
  void fail(Exchange exchange, RefusalReason reason, String cause, long nowMs) {
    fail(exchange, Refusal.of(reason, cause).retryAfter(RetryAfter.delayMs(reason)), cause, nowMs);
  }

  /** Refuses a request that the placement coordinator rejected, as not run. */
  void rejected(PlacementRejected reply, long nowMs) {
    Optional<Exchange> rejected =
        coordinator
            .replied(reply, nowMs)
            .flatMap(exchanges::find)
            .filter(exchange -> exchange.awaitsReply(reply.ticket()));
    if (rejected.isEmpty()) {
      return;
    }
    rejected.get().clearPendingPlacement();
    String cause = "no engine is expected to have room in time";
    Refusal refusal =
        Refusal.of(RefusalReason.BACKLOG_FULL, cause).retryAfter(reply.retryAfterMs());
    fail(rejected.get(), refusal, cause, nowMs);
  }

  /** Ends a request that must not be sent to an engine any more. */
  void fail(Exchange exchange, Refusal refusal, long nowMs) {
    fail(exchange, refusal, refusal.message(), nowMs);
  }

  /** Ends a request without a complete response: aborts its stream, or refuses the request. */
  void fail(Exchange exchange, Refusal refusal, String cause, long nowMs) {
    if (exchange.target().isPresent()) {
      port.cancel(exchange.call().id(), exchange.attempt());
    }
    if (exchange.callerStream().begun()) {
      observer.refused(RefusalReason.TARGET_LOST);
      exchange.call().port().abort();
      finish(exchange, "broken_off", cause, nowMs);
      return;
    }
    RefusalReason reason = refusal.reason();
    RefusalReason actual = exchange.possibleRuns() > 0 ? reasonAfterRun(reason) : reason;
    observer.refused(actual);
    exchange
        .call()
        .port()
        .refuse(
            actual == reason
                ? refusal
                : Refusal.of(actual, cause).retryAfter(RetryAfter.delayMs(actual)));
    finish(exchange, actual.wireName(), cause, nowMs);
  }

  private static RefusalReason reasonAfterRun(RefusalReason reason) {
    return reason == RefusalReason.DEADLINE_AFTER_START ? reason : RefusalReason.CONNECTION_LOST;
  }

  void callerGone(Exchange exchange, long nowMs) {
    if (exchange.target().isPresent()) {
      port.cancel(exchange.call().id(), exchange.attempt());
    }
    finish(exchange, "caller_gone", "", nowMs);
  }

  void finish(Exchange exchange, String outcome, String cause, long nowMs) {
    String target = exchange.target().map(t -> t.info().id().name()).orElse("none");
    long attemptMs = exchange.sends() == 0 ? 0 : nowMs - exchange.sentMs();
    coordinator.cancelPlacement(exchange);
    exchange.endAttempt();
    exchanges.remove(exchange);
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of("forwarding.ended")
            .with("request", exchange.call().requestId())
            .with("fingerprint", exchange.call().fingerprint().orElse("none"))
            .with("route", exchange.route().name())
            .with("priority", exchange.priority())
            .with("prompt_tokens", exchange.promptTokens())
            .with("expected_tokens", exchange.tokens())
            .with("outcome", outcome)
            .with("cause", cause)
            .with("target", target)
            .with("sendings", exchange.sends())
            .with("unplaced_ms", exchange.unplacedMs(nowMs))
            .with("first_ms", exchange.firstPartAfterMs())
            .with("stream_relayed", exchange.callerStream().begun())
            .with("unread_bytes", exchange.callerStream().pendingBytes())
            .with("attempt_ms", attemptMs)
            .with("longest_pause_ms", exchange.timing().longestGapMs())
            .with("elapsed_ms", nowMs - exchange.arrivedMs())
            .with("drain_left_ms", drain.logValue(nowMs))
            .toString());
  }
}
