package dev.caroblb.pacing;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.TargetId;
import dev.caroblb.core.TargetRun;
import dev.caroblb.routing.WarmUp;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A control instance that gives out permits for simulated targets which start during operation. */
final class PacedTargets {
  static final double COLD_PER_SECOND = 4;

  private static final FailureDomain ZONE = new FailureDomain("zone-a");
  private static final long OPERATION_MS = 60_000;
  private static final long STEP_MS = 5;
  private static final long ANSWER_MS = 50;
  private static final long REPORT_MS = 100;
  private static final double MS_PER_SECOND = 1_000;

  /** What a target does with a request. */
  enum Outcome {
    ANSWERED,
    SLOW,
    FAILED
  }

  /** A simulated target. */
  interface Behaviour {
    /** Handles a request that arrives at a time after the start of the target. */
    Outcome arrived(long sinceStartMs);
  }

  private final TargetLimits limits = TargetLimits.ofControl(Optional.of(new LearnedRates()));
  private final List<TargetRun> runs = new ArrayList<>();
  private final Behaviour[] behaviours;
  private final Map<Long, List<Runnable>> due = new HashMap<>();
  private final Map<Outcome, Long> counts = new HashMap<>();
  private final long startMs = OPERATION_MS;
  private long nowMs = OPERATION_MS;
  private long next;
  private double demand;
  long sentInFirstSecond;
  long denied;
  long pacedUntilMs;

  PacedTargets(Behaviour... behaviours) {
    this.behaviours = behaviours;
    limits.setWarmUps(Map.of("service", new WarmUp(5_000, COLD_PER_SECOND)));
    limits.setShare(9, 9);
    limits.available(
        new TargetRun(new TargetId("old"), 1), "service", ZONE, AnnouncedWarmUp.WARM, 0);
    for (int i = 0; i < behaviours.length; i++) {
      TargetRun run = new TargetRun(new TargetId("t" + i), 1);
      runs.add(run);
      limits.available(run, "service", ZONE, AnnouncedWarmUp.WARM, nowMs);
    }
  }

  /** Lets requests arrive that go to the targets in turn; those without a permit go elsewhere. */
  void run(double perSecond, long forMs) {
    for (long endMs = nowMs + forMs; nowMs < endMs; nowMs += STEP_MS) {
      due.getOrDefault(nowMs, List.of()).forEach(Runnable::run);
      due.remove(nowMs);
      for (demand += perSecond * STEP_MS / MS_PER_SECOND; demand >= 1; demand--) {
        arrive();
      }
      if (nowMs % REPORT_MS == 0) {
        boolean unused = limits.decideRates(nowMs);
      }
      if (paced() > 0) {
        pacedUntilMs = nowMs - startMs;
      }
    }
  }

  private void arrive() {
    for (int i = 0; i < runs.size(); i++) {
      int target = (int) (next++ % runs.size());
      if (limits.permits(runs.get(target), nowMs)) {
        send(target);
        return;
      }
    }
    denied++;
  }

  private void send(int target) {
    TargetRun run = runs.get(target);
    limits.take(run, nowMs);
    sentInFirstSecond += nowMs - startMs < MS_PER_SECOND ? 1 : 0;
    Outcome outcome = behaviours[target].arrived(nowMs - startMs);
    counts.merge(outcome, 1L, Long::sum);
    long reportedMs = (nowMs + ANSWER_MS + REPORT_MS - 1) / REPORT_MS * REPORT_MS;
    RunOutcomes report =
        new RunOutcomes(
            run,
            outcome == Outcome.ANSWERED ? 1 : 0,
            outcome == Outcome.SLOW ? 1 : 0,
            outcome == Outcome.FAILED ? 1 : 0,
            0);
    due.computeIfAbsent(reportedMs, ms -> new ArrayList<>())
        .add(() -> limits.learned().orElseThrow().add(report, nowMs));
  }

  int paced() {
    return limits.learned().orElseThrow().count();
  }

  long count(Outcome outcome) {
    return counts.getOrDefault(outcome, 0L);
  }

  /** Fraction of the requests sent to the targets that failed. */
  double lost() {
    long sent = counts.values().stream().mapToLong(Long::longValue).sum();
    return count(Outcome.FAILED) / (double) Math.max(1, sent);
  }

  /** Numbers for the message of a failed check. */
  String state() {
    return counts + " denied " + denied + " lost " + lost() + " paced until " + pacedUntilMs;
  }
}
