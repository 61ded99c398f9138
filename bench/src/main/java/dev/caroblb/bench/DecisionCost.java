package dev.caroblb.bench;

import com.sun.management.ThreadMXBean;
import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.TargetId;
import dev.caroblb.core.WorkspaceId;
import dev.caroblb.placement.Fleet;
import dev.caroblb.placement.LoadReport;
import dev.caroblb.placement.PlacementHandler;
import dev.caroblb.placement.PlacementMessage;
import dev.caroblb.placement.PlacementPolicy;
import dev.caroblb.placement.PlacementRequest;
import dev.caroblb.placement.PolicyKind;
import dev.caroblb.placement.PromptShape;
import dev.caroblb.placement.TargetState;
import dev.caroblb.placement.TargetView;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Measures time and allocation of a placement decision on one core, with running calls at every
 * target.
 */
final class DecisionCost {
  private static final int WARMUP_DECISIONS = 60_000;
  private static final int DECISIONS = 20_000;
  private static final int RUNNING_PER_TARGET = 2;
  private static final int[] FLEET_SIZES = {12, 1_000};

  private DecisionCost() {}

  static void print(PrintStream out, Iterable<PolicyKind> policies) {
    out.printf(
        Locale.ROOT,
        "%n%-18s %8s %12s %12s %12s %12s %8s%n",
        "decision cost",
        "targets",
        "median ns",
        "p99 ns",
        "per second",
        "bytes each",
        "placed");
    for (PolicyKind policy : policies) {
      for (int targets : FLEET_SIZES) {
        measure(out, policy, targets);
      }
    }
  }

  private static void measure(PrintStream out, PolicyKind kind, int targets) {
    Fleet fleet = new Fleet();
    PlacementPolicy policy = kind.create(fleet, 1);
    PlacementHandler handler = new PlacementHandler(fleet, policy, outcome -> true);
    for (int i = 0; i < targets; i++) {
      handler.handle(new PlacementMessage.TargetSeen(view(i)), 0);
    }
    for (int i = 0; i < targets * RUNNING_PER_TARGET; i++) {
      handler.handle(new PlacementMessage.PlaceCall(request(i)), i);
    }
    handler.tick(1_000);
    PlacementRequest request = request(-1);
    int placed = 0;
    for (int i = 0; i < WARMUP_DECISIONS; i++) {
      placed += policy.place(request, 1_000).isPresent() ? 1 : 0;
    }
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    double[] decisionNanos = new double[DECISIONS];
    long bytes = threads.getThreadAllocatedBytes(Thread.currentThread().getId());
    long startNanos = System.nanoTime();
    long previousNanos = startNanos;
    for (int i = 0; i < DECISIONS; i++) {
      placed += policy.place(request, 1_000).isPresent() ? 1 : 0;
      long nowNanos = System.nanoTime();
      decisionNanos[i] = nowNanos - previousNanos;
      previousNanos = nowNanos;
    }
    long elapsedNanos = previousNanos - startNanos;
    bytes = threads.getThreadAllocatedBytes(Thread.currentThread().getId()) - bytes;
    Arrays.sort(decisionNanos);
    out.printf(
        Locale.ROOT,
        "%-18s %8d %12.0f %12.0f %12.0f %12d %8.2f%n",
        kind.label(),
        targets,
        Report.quantile(decisionNanos, 0.5),
        Report.quantile(decisionNanos, 0.99),
        DECISIONS / (elapsedNanos / 1e9),
        bytes / DECISIONS,
        placed / (double) (WARMUP_DECISIONS + DECISIONS));
  }

  private static TargetView view(int number) {
    return new TargetView(
        new TargetId("engine-" + number),
        1,
        new FailureDomain("domain-" + number % 3),
        "127.0.0.1:1",
        List.of("llm"),
        TargetState.AVAILABLE,
        Optional.of(new LoadReport(4, 0, 150 + number % 100, 981, 0, 100)));
  }

  private static PlacementRequest request(long call) {
    return new PlacementRequest(
        call,
        "llm",
        "reading",
        new WorkspaceId("ws-" + Math.floorMod(call, 10)),
        5,
        new PromptShape(600, 1 + Math.floorMod(call, 40), 400),
        60_000,
        60_000,
        0,
        Optional.empty());
  }
}
