package dev.caroblb.soak;

import dev.caroblb.systemtests.SystemProbe;
import dev.caroblb.systemtests.TestCaller;
import dev.caroblb.systemtests.TestCluster;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;

/** One run: starts a system, puts load on it while faults are injected, and checks guarantees. */
final class SoakRun {
  private static final int REPLICAS = 3;
  private static final String SERVICE = "ledger-1";
  private static final long CALLER_END_TIMEOUT_MS = 90_000;
  private static final long RETRY_PAUSE_MS = 100;

  /**
   * Time between the end of all other faults and the loss of a disk. The replicas catch up
   * meanwhile, as they would before operators replace a disk.
   */
  private static final long DISK_LOSS_DELAY_MS = 12_000;

  private static final long DISK_LOSS_MS = 3_000;

  private final SoakSettings settings;
  private final Violations violations = new Violations();
  private final AtomicBoolean stop = new AtomicBoolean();
  private final FaultHistory history = new FaultHistory();
  private final List<String> faultLog = new ArrayList<>();

  private long stopsEnded;

  SoakRun(SoakSettings settings) {
    this.settings = settings;
  }

  SoakReport run() throws Exception {
    try (LinkRelays linkRelays = new LinkRelays();
        TestCluster cluster = new TestCluster(settings.instances(), REPLICAS, linkRelays)) {
      startCluster(cluster);
      List<Workload> workloads = createWorkloads(cluster);
      ExecutorService executor = Executors.newFixedThreadPool(workloads.size());
      List<Future<?>> callerTasks = new ArrayList<>();
      for (Workload workload : workloads) {
        callerTasks.add(executor.submit(() -> runWorkload(workload)));
      }
      injectFaults(cluster, linkRelays);
      long faultsEndedNanos = System.nanoTime();
      awaitRecovery(cluster);
      long recoveredMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - faultsEndedNanos);
      stop.set(true);
      awaitCallersAndVerify(workloads, callerTasks);
      executor.shutdownNow();
      return report(workloads, recoveredMs, cluster);
    }
  }

  private static List<String> targets() {
    return List.of("planner-1", "planner-2", SERVICE);
  }

  private static void startCluster(TestCluster cluster) throws Exception {
    SystemProbe probe = new SystemProbe(cluster, new TestCaller());
    probe.startWithTeamFiles();
    cluster.startEngine("planner-1", "domain-1", "plan-llm@2");
    cluster.startEngine("planner-2", "domain-2", "plan-llm@2");
    cluster.startService(SERVICE, "domain-3", "ledger");
    probe.awaitTargets(targets().size());
  }

  private List<Workload> createWorkloads(TestCluster cluster) {
    List<Workload> workloads = new ArrayList<>();
    Random seeds = new Random(settings.seed() + 1);
    for (int i = 0; i < settings.callers(); i++) {
      workloads.add(new StreamCaller(cluster, violations, new Random(seeds.nextLong())));
      workloads.add(new PostingCaller(cluster, SERVICE, violations, new Random(seeds.nextLong())));
    }
    for (int i = 0; i < settings.callers(); i++) {
      workloads.add(
          new KeptConnectionCaller(
              cluster, SERVICE, history, violations, new Random(seeds.nextLong())));
    }
    workloads.add(new Publisher(cluster, violations, new Random(seeds.nextLong())));
    return workloads;
  }

  private void runWorkload(Workload workload) {
    while (!stop.get()) {
      try {
        if (!workload.runOnce()) {
          TimeUnit.MILLISECONDS.sleep(RETRY_PAUSE_MS);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      } catch (Exception e) {
        violations.add("no caller fails with an unexpected exception", e.toString());
        return;
      }
    }
  }

  private void injectFaults(TestCluster cluster, LinkRelays linkRelays) throws Exception {
    InstanceStops stops = new InstanceStops(cluster, history, violations);
    try {
      FaultPlan plan = new FaultPlan(cluster, linkRelays, stops, targets(), settings);
      long startedNanos = System.nanoTime();
      for (FaultPlan.Step step : plan.drawSteps(settings.faultPhaseMs())) {
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
        TimeUnit.MILLISECONDS.sleep(Math.max(0, step.atMs() - elapsedMs));
        apply(step.fault(), step.begins(), startedNanos);
      }
      stops.awaitAll();
      Optional<Fault> diskLoss = plan.drawDiskLoss();
      if (diskLoss.isPresent()) {
        TimeUnit.MILLISECONDS.sleep(DISK_LOSS_DELAY_MS);
        apply(diskLoss.get(), true, startedNanos);
        TimeUnit.MILLISECONDS.sleep(DISK_LOSS_MS);
        apply(diskLoss.get(), false, startedNanos);
      }
      stopsEnded = stops.ended();
    } finally {
      stops.close();
    }
  }

  private void apply(Fault fault, boolean begins, long startedNanos) throws Exception {
    long atMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
    faultLog.add(atMs + " ms: " + (begins ? "" : "end of ") + fault.describe());
    if (begins) {
      history.faultBegan(fault.hitInstances());
      fault.inject();
    } else {
      fault.heal();
      history.faultEnded(fault.hitInstances());
    }
  }

  private void awaitRecovery(TestCluster cluster) {
    try {
      SystemProbe probe = new SystemProbe(cluster, new TestCaller());
      probe.awaitConfiguration(1);
      probe.awaitTargets(targets().size());
    } catch (Exception e) {
      violations.add("the system recovers once all faults have ended", e.toString());
    }
  }

  private void awaitCallersAndVerify(List<Workload> workloads, List<Future<?>> callerTasks)
      throws Exception {
    for (Future<?> caller : callerTasks) {
      try {
        caller.get(CALLER_END_TIMEOUT_MS, TimeUnit.MILLISECONDS);
      } catch (TimeoutException e) {
        violations.add(
            "every call ends", "a caller did not finish within " + CALLER_END_TIMEOUT_MS + " ms");
      }
    }
    for (Workload workload : workloads) {
      try {
        workload.verifyFinalState();
      } catch (TimeoutException e) {
        violations.add("every accepted configuration is in force on all instances", e.getMessage());
      }
    }
  }

  private SoakReport report(List<Workload> workloads, long recoveredMs, TestCluster cluster)
      throws Exception {
    Map<String, Long> counts = new TreeMap<>();
    for (Workload workload : workloads) {
      workload.counts().forEach((name, count) -> counts.merge(name, count, Long::sum));
    }
    counts.put("faults", faultLog.size() / 2L);
    counts.put("planned_stops", stopsEnded);
    counts.put("recovered_ms", recoveredMs);
    if (!violations.all().isEmpty()) {
      System.out.print(cluster.severeLogLines());
    }
    return new SoakReport(settings.seed(), counts, violations.all(), faultLog);
  }
}
