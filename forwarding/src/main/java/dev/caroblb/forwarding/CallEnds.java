package dev.caroblb.forwarding;

import dev.caroblb.core.LogLine;
import dev.caroblb.core.Refusal;
import dev.caroblb.core.RefusalReason;

/** Ends requests: with a refusal, with a broken-off stream, or because the caller left. */
final class CallEnds {
  private static final System.Logger LOGGER = System.getLogger(CallEnds.class.getName());

  private final ExchangeTable exchanges;
  private final TargetPort port;
  private final CallObserver observer;
  private final CoordinatorLink coordinator;

  CallEnds(
      ExchangeTable exchanges,
      TargetPort port,
      CallObserver observer,
      CoordinatorLink coordinator) {
    this.exchanges = exchanges;
    this.port = port;
    this.observer = observer;
    this.coordinator = coordinator;
  }

  /** Refuses a request before it became an exchange. */
  void refuse(ForwardCall call, RefusalReason reason, long table) {
    observer.refused(reason);
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of("forwarding.refused")
            .with("request", call.requestId())
            .with("reason", reason.wireName())
            .with("table", table)
            .toString());
    call.port().refuse(Refusal.of(reason).retryAfter(RetryAfter.ms(reason)));
  }

  /** Ends a request for which no answer of a target is to be had. */
  void giveUp(Exchange exchange, RefusalReason reason, String cause, long nowMs) {
    if (exchange.target().isPresent()) {
      port.cancel(exchange.call().id(), exchange.attempt());
    }
    if (exchange.begun()) {
      observer.refused(RefusalReason.TARGET_LOST);
      exchange.call().port().abort();
      finish(exchange, "broken_off", cause, nowMs);
      return;
    }
    RefusalReason told = exchange.runs() > 0 ? mayHaveRun(reason) : reason;
    observer.refused(told);
    exchange.call().port().refuse(Refusal.of(told, cause).retryAfter(RetryAfter.ms(told)));
    finish(exchange, told.wireName(), cause, nowMs);
  }

  private static RefusalReason mayHaveRun(RefusalReason reason) {
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
    coordinator.forget(exchange);
    exchange.release();
    exchanges.remove(exchange);
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of("forwarding.ended")
            .with("request", exchange.call().requestId())
            .with("outcome", outcome)
            .with("cause", cause)
            .with("target", target)
            .with("sendings", exchange.sendings())
            .with("first_ms", exchange.firstPartAfterMs())
            .with("longest_pause_ms", exchange.longestPauseMs())
            .with("elapsed_ms", nowMs - exchange.arrivedMs())
            .toString());
  }
}
