package dev.caroblb.pacing;

import dev.caroblb.core.TargetRun;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The request limits that targets name, and the permits for requests to limited targets that this
 * instance may use or give out. A limit holds for all instances together: one control instance
 * gives out all permits, and an instance that gets no reply from it uses its own share.
 */
public final class TargetLimits {
  /**
   * Minimum rate of permits, in requests per second. The responses to these requests show when a
   * target that takes next to nothing ends its limit.
   */
  private static final double MIN_PER_SECOND = 0.25;

  /** Number of instances assumed to share a limit until a control instance reports it. */
  private static final int ASSUMED_INSTANCES = 16;

  /**
   * Time in milliseconds without a message of the control instance after which an instance uses its
   * own share. Until then the control instance may still give out all permits.
   */
  private static final long OWN_SHARE_AFTER_MS = 1_500;

  private static final double MS_PER_SECOND = 1_000;

  private final StatedLimits stated = new StatedLimits();
  private final Map<TargetRun, RequestBucket> buckets = new HashMap<>();
  private final Map<TargetRun, Long> deniedUntilMs = new HashMap<>();
  private double share = 1.0 / ASSUMED_INSTANCES;
  private long accrueFromMs = Long.MIN_VALUE;

  /**
   * Sets the share of the limits that this instance uses or gives out. Control instances that are
   * used by different instances together give out no more than the limits.
   *
   * @param instances number of instances that get their permits here
   * @param allInstances number of instances that share the limits
   */
  public void setShare(int instances, int allInstances) {
    share = (double) instances / Math.max(1, Math.max(instances, allInstances));
  }

  /** Records a message of the control instance that gives out the permits. */
  public void coordinatorHeard(long nowMs) {
    accrueFromMs = nowMs + OWN_SHARE_AFTER_MS;
    buckets.values().forEach(bucket -> bucket.empty(accrueFromMs));
  }

  /**
   * Records what a target said about its limit in a response; returns whether its limit changed.
   *
   * @param sentMs time at which the request was sent
   */
  public boolean heard(TargetRun run, Optional<Double> perSecond, long sentMs, long nowMs) {
    boolean changed =
        perSecond.isPresent()
            ? stated.named(run, perSecond.get(), nowMs)
            : stated.notNamed(run, sentMs);
    return changed && limitChanged(run);
  }

  private boolean limitChanged(TargetRun run) {
    deniedUntilMs.remove(run);
    return true;
  }

  /** Adds a statement that another instance passed on; returns whether the limit changed. */
  public boolean received(LimitStatement statement, long nowMs) {
    return stated.received(statement, nowMs) && limitChanged(statement.run());
  }

  /** The latest statement of a target; empty if it never named a limit. */
  public Optional<LimitStatement> statement(TargetRun run, long nowMs) {
    return stated.statement(run, nowMs);
  }

  /** The latest statements of all targets that name a limit or have named one. */
  public List<LimitStatement> statements(long nowMs) {
    return stated.statements(nowMs);
  }

  /** Whether any target names a limit. */
  public boolean anyLimited() {
    return stated.anyLimit();
  }

  /** Whether a target names a limit. */
  public boolean limited(TargetRun run) {
    return stated.perSecond(run).isPresent();
  }

  /** Whether this instance may send or assign a request to a target, as far as limits go. */
  public boolean permits(TargetRun run, long nowMs) {
    return !limited(run) || bucket(run, nowMs).available(rate(run), nowMs);
  }

  /** Uses a permit, if the target names a limit. */
  public void take(TargetRun run, long nowMs) {
    if (limited(run)) {
      bucket(run, nowMs).take(rate(run), nowMs);
    }
  }

  /** Records that the control instance has no permit for a target until a time. */
  public void denied(TargetRun run, long untilMs) {
    deniedUntilMs.put(run, untilMs);
  }

  /** Whether a target names a limit and the control instance may have a permit for it. */
  public boolean permitExpected(TargetRun run, long nowMs) {
    return limited(run) && nowMs >= deniedUntilMs.getOrDefault(run, Long.MIN_VALUE);
  }

  /** Time in milliseconds until a request to a target is expected to get a permit. */
  public long waitMs(TargetRun run, long nowMs) {
    if (!limited(run)) {
      return 0;
    }
    long deniedMs = deniedUntilMs.getOrDefault(run, Long.MIN_VALUE);
    if (deniedMs > nowMs) {
      return deniedMs - nowMs;
    }
    // Until the own share is used, the control instance gives out permits at the whole rate.
    return nowMs < accrueFromMs
        ? (long) Math.ceil(MS_PER_SECOND / limit(run))
        : bucket(run, nowMs).waitMs(rate(run), nowMs);
  }

  private double limit(TargetRun run) {
    return Math.max(MIN_PER_SECOND, stated.perSecond(run).orElse(0.0));
  }

  private double rate(TargetRun run) {
    return share * limit(run);
  }

  private RequestBucket bucket(TargetRun run, long nowMs) {
    return buckets.computeIfAbsent(run, key -> new RequestBucket(Math.max(nowMs, accrueFromMs)));
  }

  /** Forgets limits that ended or were named last some time ago. */
  public void expire(long nowMs) {
    stated.expire(nowMs);
  }

  /** Forgets a run of a target that has ended. */
  public void forget(TargetRun run) {
    stated.forget(run);
    buckets.remove(run);
    deniedUntilMs.remove(run);
  }
}
