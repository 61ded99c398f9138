package dev.caroblb.soak;

import dev.caroblb.systemtests.TestCluster;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/** Draws the schedule of faults of one run from its seed. Faults may overlap and repeat. */
final class FaultPlan {
  /** The time at which a fault begins or ends, relative to the start of fault injection. */
  record Step(long atMs, Fault fault, boolean begins) {}

  private static final int MIN_GAP_MS = 300;
  private static final int MAX_GAP_MS = 3_000;
  private static final int MIN_DURATION_MS = 200;
  private static final int MAX_DURATION_MS = 6_000;

  /**
   * Time between the end of all other faults and the loss of a disk. The replicas catch up
   * meanwhile, as they would before operators replace a disk.
   */
  private static final long DISK_LOSS_DELAY_MS = 12_000;

  private static final int KIND_COUNT = 9;

  /** Limits the draws for one fault: while all instances are killed, every fault conflicts. */
  private static final int MAX_DRAWS = 50;

  private final TestCluster cluster;
  private final LinkRelays linkRelays;
  private final List<String> targets;
  private final Random random;

  FaultPlan(TestCluster cluster, LinkRelays linkRelays, List<String> targets, Random random) {
    this.cluster = cluster;
    this.linkRelays = linkRelays;
    this.targets = List.copyOf(targets);
    this.random = random;
  }

  /**
   * Draws the steps of a run in order of time. All faults but the loss of a disk begin within the
   * given time.
   */
  List<Step> drawSteps(long faultPhaseMs) {
    List<Step> steps = new ArrayList<>();
    long atMs = MIN_GAP_MS;
    long lastEndMs = 0;
    while (atMs < faultPhaseMs) {
      Optional<Fault> fault = drawFault(activeFaults(steps, atMs));
      long endMs = atMs + MIN_DURATION_MS + random.nextInt(MAX_DURATION_MS - MIN_DURATION_MS);
      if (fault.isPresent()) {
        steps.add(new Step(atMs, fault.get(), true));
        steps.add(new Step(endMs, fault.get(), false));
        lastEndMs = Math.max(lastEndMs, endMs);
      }
      atMs += MIN_GAP_MS + random.nextInt(MAX_GAP_MS - MIN_GAP_MS);
    }
    if (random.nextBoolean()) {
      Fault diskLoss = new Faults.LoseDisk(cluster, cluster.names().get(random.nextInt(2)));
      steps.add(new Step(lastEndMs + DISK_LOSS_DELAY_MS, diskLoss, true));
      steps.add(new Step(lastEndMs + DISK_LOSS_DELAY_MS + MAX_DURATION_MS / 2, diskLoss, false));
    }
    steps.sort(Comparator.comparingLong(Step::atMs));
    return steps;
  }

  private static Set<String> activeFaults(List<Step> steps, long atMs) {
    Set<String> active = new HashSet<>();
    for (Step step : steps) {
      if (step.begins() && step.atMs() <= atMs) {
        active.add(step.fault().describe());
      } else if (step.atMs() <= atMs) {
        active.remove(step.fault().describe());
      }
    }
    return active;
  }

  /**
   * Draws a fault that conflicts with none of the active ones. A process has at most one process
   * fault and one link fault at a time.
   */
  private Optional<Fault> drawFault(Set<String> active) {
    for (int i = 0; i < MAX_DRAWS; i++) {
      String instance = cluster.names().get(random.nextInt(cluster.names().size()));
      Fault fault = createFault(random.nextInt(KIND_COUNT), instance);
      boolean allowed =
          fault instanceof Faults.KillAll
              ? active.isEmpty()
              : active.stream().noneMatch(other -> conflicts(other, fault.describe()));
      if (allowed) {
        return Optional.of(fault);
      }
    }
    return Optional.empty();
  }

  private static boolean conflicts(String active, String candidate) {
    boolean sameProcess =
        active
            .substring(active.indexOf(' ') + 1)
            .equals(candidate.substring(candidate.indexOf(' ') + 1));
    boolean bothLinkFaults = active.startsWith("links") && candidate.startsWith("links");
    boolean bothProcessFaults = !active.startsWith("links") && !candidate.startsWith("links");
    return active.equals("kill_all") || (sameProcess && (bothLinkFaults || bothProcessFaults));
  }

  private Fault createFault(int kind, String instance) {
    return switch (kind) {
      case 0 -> new Faults.Kill(cluster, instance);
      case 1 -> new Faults.Stop(cluster, instance);
      case 2 -> new Faults.Freeze(cluster, instance);
      case 3 -> new Faults.LinkFault(linkRelays, instance, LinkMode.DELAY);
      case 4 -> new Faults.LinkFault(linkRelays, instance, LinkMode.SILENT);
      case 5 -> new Faults.LinkFault(linkRelays, instance, LinkMode.ONE_WAY);
      case 6 -> new Faults.LinkFault(linkRelays, instance, LinkMode.RESET);
      case 7 -> new Faults.FreezeTarget(cluster, targets.get(random.nextInt(targets.size())));
      default -> new Faults.KillAll(cluster);
    };
  }
}
