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

  /** The first kinds are planned stops. */
  private static final int PLANNED_KIND_COUNT = 4;

  private static final int KIND_COUNT = 12;

  /** Limits the draws for one fault: while all instances are killed, every fault conflicts. */
  private static final int MAX_DRAWS = 50;

  private final TestCluster cluster;
  private final LinkRelays linkRelays;
  private final List<String> targets;
  private final InstanceStops stops;
  private final SoakSettings settings;
  private final Random random;

  FaultPlan(
      TestCluster cluster,
      LinkRelays linkRelays,
      InstanceStops stops,
      List<String> targets,
      SoakSettings settings) {
    this.cluster = cluster;
    this.stops = stops;
    this.settings = settings;
    this.linkRelays = linkRelays;
    this.targets = List.copyOf(targets);
    this.random = new Random(settings.seed());
  }

  /** Draws the steps of a run in order of time. All faults begin within the given time. */
  List<Step> drawSteps(long faultPhaseMs) {
    List<Step> steps = new ArrayList<>();
    long atMs = MIN_GAP_MS;
    while (atMs < faultPhaseMs) {
      Optional<Fault> fault = drawFault(activeFaults(steps, atMs));
      long endMs = atMs + MIN_DURATION_MS + random.nextInt(MAX_DURATION_MS - MIN_DURATION_MS);
      if (fault.isPresent()) {
        steps.add(new Step(atMs, fault.get(), true));
        steps.add(new Step(endMs, fault.get(), false));
      }
      atMs += drawGapMs();
    }
    steps.sort(Comparator.comparingLong(Step::atMs));
    return steps;
  }

  /** Draws the disk that is lost once all other faults have ended. */
  Optional<Fault> drawDiskLoss() {
    if (settings.plannedOnly() || random.nextBoolean()) {
      return Optional.empty();
    }
    return Optional.of(new Faults.LoseDisk(cluster, cluster.names().get(random.nextInt(2))));
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
   * Draws a fault that conflicts with none of the active ones. A process has at most one planned
   * stop, one unplanned process fault and one link fault at a time.
   */
  private Optional<Fault> drawFault(Set<String> active) {
    for (int i = 0; i < MAX_DRAWS; i++) {
      String instance = cluster.names().get(random.nextInt(cluster.names().size()));
      Fault fault = createFault(random.nextInt(kindCount()), instance);
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

  private int kindCount() {
    return settings.plannedOnly() ? PLANNED_KIND_COUNT : KIND_COUNT;
  }

  private static boolean conflicts(String active, String candidate) {
    boolean sameProcess =
        active
            .substring(active.indexOf(' ') + 1)
            .equals(candidate.substring(candidate.indexOf(' ') + 1));
    return active.equals("kill_all") || (sameProcess && family(active).equals(family(candidate)));
  }

  /** Faults of different families may hit the same process at the same time. */
  private static String family(String fault) {
    if (fault.startsWith("links")) {
      return "links";
    }
    return fault.startsWith("stop") ? "stop" : "process";
  }

  private Fault createFault(int kind, String instance) {
    return switch (kind) {
      case 0 -> new Faults.Stop(stops, instance, InstanceStops.Signals.NONE, 0);
      case 1 -> new Faults.Stop(stops, instance, InstanceStops.Signals.SECOND, drawGapMs());
      case 2 ->
          new Faults.Stop(
              stops, instance, InstanceStops.Signals.AFTER_START, random.nextInt(MAX_GAP_MS / 2));
      case 3 -> new Faults.RestartInTurn(stops, drawGapMs());
      case 4 -> new Faults.Kill(cluster, stops, instance);
      case 5 -> new Faults.Freeze(cluster, instance);
      case 6 -> new Faults.LinkFault(linkRelays, instance, LinkMode.DELAY);
      case 7 -> new Faults.LinkFault(linkRelays, instance, LinkMode.SILENT);
      case 8 -> new Faults.LinkFault(linkRelays, instance, LinkMode.ONE_WAY);
      case 9 -> new Faults.LinkFault(linkRelays, instance, LinkMode.RESET);
      case 10 -> new Faults.FreezeTarget(cluster, targets.get(random.nextInt(targets.size())));
      default -> new Faults.KillAll(cluster, stops);
    };
  }

  private int drawGapMs() {
    return MIN_GAP_MS + random.nextInt(MAX_GAP_MS - MIN_GAP_MS);
  }
}
