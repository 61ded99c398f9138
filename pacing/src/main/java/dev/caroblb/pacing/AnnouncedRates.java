package dev.caroblb.pacing;

import dev.caroblb.core.TargetRun;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Rates of targets that a control instance has learned and announced to this instance. */
public final class AnnouncedRates implements RateSource {
  /** Time in milliseconds for which a rate is kept that is not announced again. */
  private static final long KEPT_MS = 600_000;

  private final Map<TargetRun, LimitStatement> announced = new HashMap<>();
  private long announcedMs;

  /** Replaces the rates by those of the latest announcement. */
  void replace(List<LimitStatement> paces, long nowMs) {
    announced.clear();
    announcedMs = nowMs;
    for (LimitStatement pace : paces) {
      if (pace.valid() && pace.perSecond().isPresent()) {
        announced.put(pace.run(), pace);
      }
    }
  }

  List<LimitStatement> statements() {
    return List.copyOf(announced.values());
  }

  /** Number of targets that are paced. */
  int count() {
    return announced.size();
  }

  @Override
  public Optional<Double> perSecond(TargetRun run, long nowMs) {
    return Optional.ofNullable(announced.get(run)).flatMap(LimitStatement::perSecond);
  }

  @Override
  public boolean limitsAny(long nowMs) {
    return !announced.isEmpty();
  }

  @Override
  public void expire(long nowMs) {
    if (nowMs - announcedMs >= KEPT_MS) {
      announced.clear();
    }
  }

  @Override
  public void forget(TargetRun run) {
    announced.remove(run);
  }
}
