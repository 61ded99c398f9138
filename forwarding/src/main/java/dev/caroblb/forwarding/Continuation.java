package dev.caroblb.forwarding;

import dev.caroblb.core.LogLine;
import dev.caroblb.targets.Target;
import dev.caroblb.targets.TargetPool;

/** Continues generations at the engines that have copies of their memory. */
final class Continuation {
  private static final System.Logger LOGGER = System.getLogger(Continuation.class.getName());

  /**
   * Maximum time in milliseconds that a generation waits for an engine with its copy that rejects
   * requests. Engines keep a copy for some seconds, and callers abandon a stream without events.
   */
  private static final long MAX_CONTINUATION_DELAY_MS = 4_000;

  /** Delay in milliseconds before a generation at a leaving engine is checked for silence. */
  private static final long FIRST_CHECK_MS = 100;

  private final ExchangeTable exchanges;
  private final TargetPool pool;
  private final Dispatcher dispatcher;
  private final ResponseRelay responses;

  Continuation(
      ExchangeTable exchanges, TargetPool pool, Dispatcher dispatcher, ResponseRelay responses) {
    this.exchanges = exchanges;
    this.pool = pool;
    this.dispatcher = dispatcher;
    this.responses = responses;
  }

  /**
   * Continues a generation at the engine that has its copy. If that engine wants no requests from
   * this instance for a short time, the generation continues after it.
   */
  void at(Exchange exchange, Target destination, CopiedMemory memory, long nowMs) {
    if (destination.evacuated()) {
      abandon(exchange, "the engine with the copy is evacuated", nowMs);
      return;
    }
    if (destination.accepts(nowMs) || destination.leaving()) {
      log(exchange, "forwarding.moved", "to " + destination.info().id());
      dispatcher.continueFromCopy(exchange, destination, memory, nowMs);
      if (destination.leaving()) {
        exchanges.watchSilence(destination, nowMs + FIRST_CHECK_MS);
      }
      return;
    }
    if (destination.rejectsUntilMs() - nowMs > MAX_CONTINUATION_DELAY_MS) {
      abandon(exchange, "the engine with the copy rejects requests", nowMs);
      return;
    }
    log(exchange, "forwarding.continuation_delayed", "to " + destination.info().id());
    exchange.setContinuation(new DelayedContinuation(destination, memory));
    exchanges.wakeAt(exchange, destination.rejectsUntilMs());
  }

  void delayed(Exchange exchange, DelayedContinuation delayed, long nowMs) {
    if (pool.staying(delayed.destination())) {
      at(exchange, delayed.destination(), delayed.memory(), nowMs);
      return;
    }
    abandon(exchange, "the engine with the copy is gone or evacuated", nowMs);
  }

  /** Ends the attempt of a generation that no engine can continue. */
  void abandon(Exchange exchange, String cause, long nowMs) {
    exchange.cancelMove();
    responses.targetFailed(exchange, cause, nowMs);
  }

  private static void log(Exchange exchange, String event, String detail) {
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of(event)
            .with("request", exchange.call().requestId())
            .with("detail", detail)
            .toString());
  }
}
