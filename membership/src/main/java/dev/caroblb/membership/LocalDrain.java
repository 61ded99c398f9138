package dev.caroblb.membership;

import dev.caroblb.core.Outlet;
import java.util.Optional;

/** Schedule of the planned stop of this instance. */
final class LocalDrain {
  /** Allowance for the transit of the last answer that listed this instance. */
  static final long ADDRESS_TTL_MARGIN_MS = 2_000;

  static final long SHORTENED_LIMIT_MS = 10_000;

  private final long limitMs;
  private final Outlet<DrainProgress> outlet;
  private Optional<DrainProgress> reported = Optional.empty();
  private boolean requested;
  private long refuseAtMs;
  private long endAtMs;

  LocalDrain(long limitMs, Outlet<DrainProgress> outlet) {
    this.limitMs = limitMs;
    this.outlet = outlet;
  }

  /**
   * Starts the drain, or shortens one that is already running. After a shortening, new calls are
   * refused immediately, because they would more likely be cut off than finish.
   */
  void request(long nowMs) {
    if (requested) {
      endAtMs = Math.min(endAtMs, nowMs + SHORTENED_LIMIT_MS);
      refuseAtMs = Math.min(refuseAtMs, nowMs);
      return;
    }
    requested = true;
    endAtMs = nowMs + limitMs;
    refuseAtMs = Math.min(endAtMs, nowMs + InstanceView.ADDRESS_TTL_MS + ADDRESS_TTL_MARGIN_MS);
  }

  InstanceState state() {
    return requested ? InstanceState.DRAINING : InstanceState.READY;
  }

  /**
   * Reports every stage that was reached, and the latest one again if the limit was shortened. A
   * report that the outlet cannot take is offered again later.
   */
  void reportStages(long nowMs) {
    for (DrainStage stage : DrainStage.values()) {
      if (!reached(stage, nowMs)) {
        return;
      }
      if (reported.filter(last -> covers(last, stage)).isPresent()) {
        continue;
      }
      DrainProgress progress = new DrainProgress(stage, endAtMs);
      if (!outlet.offer(progress)) {
        return;
      }
      reported = Optional.of(progress);
    }
  }

  private boolean covers(DrainProgress last, DrainStage stage) {
    int order = last.stage().compareTo(stage);
    return order > 0 || (order == 0 && last.limitAtMs() == endAtMs);
  }

  private boolean reached(DrainStage stage, long nowMs) {
    if (!requested) {
      return false;
    }
    return switch (stage) {
      case ANNOUNCED -> true;
      case REFUSE_NEW_CALLS -> nowMs >= refuseAtMs;
      case LIMIT_REACHED -> nowMs >= endAtMs;
    };
  }
}
