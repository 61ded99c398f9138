package dev.caroblb.placement;

import java.util.Arrays;
import java.util.List;

/**
 * Ejects targets on evidence of faults: failed calls, stalled generations, a time per token far
 * above that of other targets, and inconsistent load reports. At most a third of the targets of a
 * model or service are ejected at once, because a fault that affects more of them lies outside the
 * targets.
 */
final class EjectionRule {
  /** Evidence that ejects a target: two failed connects, or three lost connections at once. */
  static final double EJECTION_THRESHOLD = 3.0;

  private static final int MIN_TARGETS_PER_EJECTION = 3;
  private static final long FIRST_BACKOFF_MS = 2_000;
  private static final long MAX_BACKOFF_MS = 60_000;
  // The streams duty considers a link stalled after the same time.
  private static final long STALL_MS = 5_000;
  // Evidence of a stall or of slow tokens is added at every review, see PlacementHandler.TICK_MS.
  private static final double STALL_EVIDENCE = 0.5;
  // Different batch sizes alone change the time per token by a factor of up to 2.
  private static final double SLOW_FACTOR = 4.0;
  private static final double SLOW_EVIDENCE = 0.5;
  private static final double INCONSISTENT_REPORT_EVIDENCE = 1.0;

  /** Adds the evidence of a failed call; a failed probe ejects the target again. */
  void failed(Target target, CallFailure failure, long nowMs) {
    target.health.addEvidence(failure.evidence(), nowMs);
    if (target.health.state() == TargetHealth.State.PROBE_RUNNING) {
      target.health.eject(FIRST_BACKOFF_MS, MAX_BACKOFF_MS, nowMs);
    }
  }

  /** Records that the target produced tokens or an answer, which makes a probe successful. */
  void succeeded(Target target, long nowMs) {
    if (target.health.state() == TargetHealth.State.PROBE_RUNNING) {
      target.health.reset(nowMs);
    }
  }

  void inconsistentReport(Target target, long nowMs) {
    target.health.addEvidence(INCONSISTENT_REPORT_EVIDENCE, nowMs);
  }

  /**
   * Updates the evidence of all targets of a model or service and ejects those that reach the
   * threshold.
   */
  void review(List<Target> targets, long nowMs) {
    double median = medianInterval(targets);
    int ejected = 0;
    for (Target target : targets) {
      target.health.allowProbe(nowMs);
      ejected += target.health.ejected() ? 1 : 0;
    }
    for (Target target : targets) {
      collectEvidence(target, median, nowMs);
      boolean shouldEject =
          target.health.state() == TargetHealth.State.HEALTHY
              && target.health.evidence(nowMs) >= EJECTION_THRESHOLD;
      if (shouldEject && (ejected + 1) * MIN_TARGETS_PER_EJECTION <= targets.size()) {
        target.health.eject(FIRST_BACKOFF_MS, MAX_BACKOFF_MS, nowMs);
        ejected++;
      }
    }
  }

  private static void collectEvidence(Target target, double medianIntervalMs, long nowMs) {
    double interval = target.health.tokenIntervalMs();
    if (medianIntervalMs > 0 && interval > SLOW_FACTOR * medianIntervalMs) {
      target.health.addEvidence(SLOW_EVIDENCE, nowMs);
    }
    // A generation without a first token may be waiting for memory and is not considered stalled.
    for (Generation generation : target.running()) {
      boolean stalled = nowMs - generation.progressAtMs() > STALL_MS;
      if (stalled && generation.tokens() > 0 && !generation.suspended()) {
        target.health.addEvidence(STALL_EVIDENCE, nowMs);
        return;
      }
    }
  }

  private static double medianInterval(List<Target> targets) {
    double[] intervals =
        targets.stream()
            .mapToDouble(target -> target.health.tokenIntervalMs())
            .filter(interval -> interval > 0)
            .sorted()
            .toArray();
    // At least three targets are needed to tell which one is slow.
    return intervals.length < 3
        ? 0
        : Arrays.stream(intervals).skip(intervals.length / 2).findFirst().orElse(0);
  }
}
