package dev.caroblb.admission;

import dev.caroblb.core.CallClass;
import java.util.Optional;

/**
 * Lanes of one kind of target. Short calls go first, and long ones keep a floor of a quarter: every
 * fourth call while both have room, and a quarter of the time when long calls find no room because
 * short ones take it first.
 */
final class LanePair {
  private static final int SHORT_CALLS_PER_LONG = 3;
  private static final long LONG_STARVATION_MS = 2_000;
  private static final long RESERVATION_PERIOD_MS = 1_000;
  private static final long RESERVATION_MS = 250;

  // Bounds what long calls can be owed, so that an old imbalance does not shut short ones out.
  private static final int MAX_CREDIT = 32;

  final Lane shortLane;
  final Lane longLane;
  private int longCredit;

  LanePair(int queueBound) {
    this.shortLane = new Lane(queueBound);
    this.longLane = new Lane(queueBound);
  }

  Lane lane(CallClass callClass) {
    return callClass == CallClass.SHORT ? shortLane : longLane;
  }

  /** Lane whose next call is offered to placement. */
  Optional<Lane> next(int maxOutstanding, long nowMs) {
    boolean shortReady = shortLane.ready(maxOutstanding) && !reservedForLong(nowMs);
    boolean longReady = longLane.ready(maxOutstanding);
    if (shortReady && !(longReady && longCredit >= SHORT_CALLS_PER_LONG)) {
      return Optional.of(shortLane);
    }
    return longReady ? Optional.of(longLane) : Optional.empty();
  }

  /** Takes in that a call found room. */
  void placed(CallClass callClass) {
    lane(callClass).placed();
    if (callClass == CallClass.LONG) {
      longCredit = Math.max(0, longCredit - SHORT_CALLS_PER_LONG);
      return;
    }
    longCredit = longLane.unplaced() == 0 ? 0 : Math.min(MAX_CREDIT, longCredit + 1);
  }

  private boolean reservedForLong(long nowMs) {
    return nowMs % RESERVATION_PERIOD_MS < RESERVATION_MS
        && longLane.starved(LONG_STARVATION_MS, nowMs);
  }

  void unblock() {
    shortLane.unblock();
    longLane.unblock();
  }

  int size() {
    return shortLane.size() + longLane.size();
  }
}
