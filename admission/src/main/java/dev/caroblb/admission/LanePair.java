package dev.caroblb.admission;

import dev.caroblb.core.CallClass;
import java.util.Optional;

/**
 * The lanes for short and long calls of one model or service. Short calls have priority, but a
 * quarter is guaranteed to long calls: every fourth call while both can be placed, and a quarter of
 * the time while long calls starve because short ones use the capacity first.
 */
final class LanePair {
  private static final int SHORT_CALLS_PER_LONG = 3;
  private static final long LONG_STARVATION_MS = 2_000;
  private static final long LONG_ONLY_PERIOD_MS = 1_000;
  private static final long LONG_ONLY_MS = 250;

  // Limits the credit of long calls, so that an old imbalance cannot block short calls.
  private static final int MAX_CREDIT = 32;

  final Lane shortLane;
  final Lane longLane;

  /** Short calls placed while long ones waited, less three for each long call placed. */
  private int longCredit;

  LanePair(int queueBound) {
    this.shortLane = new Lane(queueBound);
    this.longLane = new Lane(queueBound);
  }

  Lane lane(CallClass callClass) {
    return callClass == CallClass.SHORT ? shortLane : longLane;
  }

  /** The lane whose next call is to be offered to placement. */
  Optional<Lane> next(int maxOutstanding, long nowMs) {
    boolean shortReady = shortLane.ready(maxOutstanding) && !longOnly(nowMs);
    boolean longReady = longLane.ready(maxOutstanding);
    if (shortReady && !(longReady && longCredit >= SHORT_CALLS_PER_LONG)) {
      return Optional.of(shortLane);
    }
    return longReady ? Optional.of(longLane) : Optional.empty();
  }

  /** Records that a call of the class was placed. */
  void placed(CallClass callClass) {
    lane(callClass).placed();
    if (callClass == CallClass.LONG) {
      longCredit = Math.max(0, longCredit - SHORT_CALLS_PER_LONG);
      return;
    }
    longCredit = longLane.unplaced() == 0 ? 0 : Math.min(MAX_CREDIT, longCredit + 1);
  }

  private boolean longOnly(long nowMs) {
    return nowMs % LONG_ONLY_PERIOD_MS < LONG_ONLY_MS
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
