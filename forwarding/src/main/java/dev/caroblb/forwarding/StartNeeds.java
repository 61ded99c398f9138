package dev.caroblb.forwarding;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.targets.PlacementNeed;
import dev.caroblb.targets.TargetPool;

/**
 * What requests need of the targets at which they start, as far as this instance can tell. A stream
 * that is taken up goes only to a run of a target that is known to go on: the next run under the
 * same name may have another software version, and targets do not check it.
 */
final class StartNeeds {
  private final FailureDomain domain;
  private final TargetPool pool;

  StartNeeds(FailureDomain domain, TargetPool pool) {
    this.domain = domain;
    this.pool = pool;
  }

  PlacementNeed need(Exchange exchange, long nowMs) {
    PlacementNeed need = exchange.placementNeed(PlacementNeed.Purpose.START, domain, nowMs);
    boolean takenUp = exchange.call().takeUp().isPresent() && !exchange.callerStream().begun();
    return takenUp ? need.excluding(pool.unconfirmed(exchange.service(), nowMs)) : need;
  }
}
