package dev.caroblb.forwarding;

import dev.caroblb.core.RefusalReason;
import dev.caroblb.targets.TargetPool;

/**
 * Refuses the requests of services whose targets are all evacuated. They would otherwise wait for a
 * target until their time is over.
 */
final class UnservableRequests {
  private final ExchangeTable exchanges;
  private final TargetPool pool;
  private final CallFinisher finisher;

  UnservableRequests(ExchangeTable exchanges, TargetPool pool, CallFinisher finisher) {
    this.exchanges = exchanges;
    this.pool = pool;
    this.finisher = finisher;
  }

  /** Ends a request that has no target and cannot get one; returns false if it may get one. */
  boolean refuse(Exchange exchange, long nowMs) {
    if (!pool.allEvacuated(exchange.service())) {
      return false;
    }
    String cause = "all targets of service " + exchange.service() + " are evacuated";
    finisher.fail(exchange, RefusalReason.NO_TARGET, cause, nowMs);
    return true;
  }

  /** Ends all requests, queued ones included, that have no target and cannot get one. */
  void refuseAll(long nowMs) {
    for (Exchange exchange : exchanges.all()) {
      if (exchange.target().isEmpty()) {
        refuse(exchange, nowMs);
      }
    }
  }
}
