package dev.caroblb.pacing;

import dev.caroblb.core.TargetRun;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The latest statement of each target that names a request limit, or has named one. */
public final class StatedLimits implements RateSource {
  /**
   * Time in milliseconds for which the end of a limit is kept. Until then an earlier statement that
   * arrives late does not bring the limit back.
   */
  private static final long END_KEPT_MS = 60_000;

  /**
   * Time in milliseconds for which a limit is kept that is not heard of again. Statements of runs
   * that have ended may arrive late.
   */
  private static final long LIMIT_KEPT_MS = 600_000;

  private record Stated(Optional<Double> perSecond, long atMs) {}

  private final Map<TargetRun, Stated> latest = new HashMap<>();

  /**
   * Records that a target named a limit; returns whether the limit is new or has changed.
   *
   * @param atMs time of the statement
   */
  public boolean named(TargetRun run, double perSecond, long atMs) {
    return stated(run, Optional.of(perSecond), atMs);
  }

  /**
   * Records that a target named no limit in a response; returns whether this ends a limit.
   *
   * @param sentMs time at which the request was sent. The response may have left the target at any
   *     time since then, so it does not end a limit that was named later.
   */
  public boolean notNamed(TargetRun run, long sentMs) {
    return latest.containsKey(run) && stated(run, Optional.empty(), sentMs);
  }

  /** Adds a statement that another instance passed on; returns whether it changed the limit. */
  public boolean received(LimitStatement statement, long nowMs) {
    return statement.valid()
        && stated(statement.run(), statement.perSecond(), nowMs - statement.ageMs());
  }

  private boolean stated(TargetRun run, Optional<Double> perSecond, long atMs) {
    Stated known = latest.get(run);
    if (known != null && known.atMs() >= atMs) {
      return false;
    }
    latest.put(run, new Stated(perSecond, atMs));
    return known == null || !known.perSecond().equals(perSecond);
  }

  @Override
  public Optional<Double> perSecond(TargetRun run, long nowMs) {
    return Optional.ofNullable(latest.get(run)).flatMap(Stated::perSecond);
  }

  @Override
  public boolean limitsAny(long nowMs) {
    return latest.values().stream().anyMatch(stated -> stated.perSecond().isPresent());
  }

  /** The latest statement of a target. */
  public Optional<LimitStatement> statement(TargetRun run, long nowMs) {
    return Optional.ofNullable(latest.get(run))
        .map(stated -> new LimitStatement(run, stated.perSecond(), ageMs(stated, nowMs)));
  }

  /** The latest statements of all targets. */
  public List<LimitStatement> statements(long nowMs) {
    List<LimitStatement> statements = new ArrayList<>();
    latest.forEach(
        (run, stated) ->
            statements.add(new LimitStatement(run, stated.perSecond(), ageMs(stated, nowMs))));
    return statements;
  }

  private static long ageMs(Stated stated, long nowMs) {
    return Math.max(0, nowMs - stated.atMs());
  }

  @Override
  public void forget(TargetRun run) {
    latest.remove(run);
  }

  /** Forgets limits that ended or were named last some time ago. */
  @Override
  public void expire(long nowMs) {
    latest
        .values()
        .removeIf(
            stated ->
                nowMs - stated.atMs()
                    >= (stated.perSecond().isPresent() ? LIMIT_KEPT_MS : END_KEPT_MS));
  }
}
