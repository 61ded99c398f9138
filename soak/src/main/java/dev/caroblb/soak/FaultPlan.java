package dev.caroblb.soak;

import dev.caroblb.systemtests.TestCluster;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/** The faults of one run, drawn from its seed: in series, with overlaps, some of them repeated. */
final class FaultPlan {
  /** One step: a fault begins or ends. */
  record Step(long atMs, Fault fault, boolean begins) {}

  private static final int MIN_GAP_MS = 300;
  private static final int MAX_GAP_MS = 3_000;
  private static final int MIN_LENGTH_MS = 200;
  private static final int MAX_LENGTH_MS = 6_000;

  /** A disk is lost only this long after all other faults have ended, as operators would do it. */
  private static final long CATCH_UP_MS = 12_000;

  private static final int KINDS = 9;

  /** While everything is killed, no fault is free. */
  private static final int MAX_DRAWS = 50;

  private final TestCluster cluster;
  private final Links links;
  private final List<String> targets;
  private final Random random;

  FaultPlan(TestCluster cluster, Links links, List<String> targets, Random random) {
    this.cluster = cluster;
    this.links = links;
    this.targets = List.copyOf(targets);
    this.random = random;
  }

  /** Draws the steps of a run. */
  List<Step> draw(long lengthMs) {
    List<Step> steps = new ArrayList<>();
    long atMs = MIN_GAP_MS;
    long allOverMs = 0;
    while (atMs < lengthMs) {
      Optional<Fault> fault = free(underWay(steps, atMs));
      long endMs = atMs + MIN_LENGTH_MS + random.nextInt(MAX_LENGTH_MS - MIN_LENGTH_MS);
      if (fault.isPresent()) {
        steps.add(new Step(atMs, fault.get(), true));
        steps.add(new Step(endMs, fault.get(), false));
        allOverMs = Math.max(allOverMs, endMs);
      }
      atMs += MIN_GAP_MS + random.nextInt(MAX_GAP_MS - MIN_GAP_MS);
    }
    if (random.nextBoolean()) {
      Fault lost = new Faults.LoseDisk(cluster, cluster.names().get(random.nextInt(2)));
      steps.add(new Step(allOverMs + CATCH_UP_MS, lost, true));
      steps.add(new Step(allOverMs + CATCH_UP_MS + MAX_LENGTH_MS / 2, lost, false));
    }
    steps.sort(Comparator.comparingLong(Step::atMs));
    return steps;
  }

  private static Set<String> underWay(List<Step> steps, long atMs) {
    Set<String> underWay = new HashSet<>();
    for (Step step : steps) {
      if (step.begins() && step.atMs() <= atMs) {
        underWay.add(step.fault().describe());
      } else if (step.atMs() <= atMs) {
        underWay.remove(step.fault().describe());
      }
    }
    return underWay;
  }

  /** A fault whose victim has no other fault of its process; links may be bad besides. */
  private Optional<Fault> free(Set<String> underWay) {
    for (int i = 0; i < MAX_DRAWS; i++) {
      String instance = cluster.names().get(random.nextInt(cluster.names().size()));
      Fault fault = fault(random.nextInt(KINDS), instance);
      boolean free =
          fault instanceof Faults.KillAll
              ? underWay.isEmpty()
              : underWay.stream().noneMatch(other -> clash(other, fault.describe()));
      if (free) {
        return Optional.of(fault);
      }
    }
    return Optional.empty();
  }

  private static boolean clash(String running, String next) {
    boolean sameVictim =
        running.substring(running.indexOf(' ') + 1).equals(next.substring(next.indexOf(' ') + 1));
    boolean bothLinks = running.startsWith("links") && next.startsWith("links");
    boolean bothProcess = !running.startsWith("links") && !next.startsWith("links");
    return running.equals("kill_all") || (sameVictim && (bothLinks || bothProcess));
  }

  private Fault fault(int kind, String instance) {
    return switch (kind) {
      case 0 -> new Faults.Kill(cluster, instance);
      case 1 -> new Faults.Stop(cluster, instance);
      case 2 -> new Faults.Freeze(cluster, instance);
      case 3 -> new Faults.BadLinks(links, instance, LinkMode.DELAY);
      case 4 -> new Faults.BadLinks(links, instance, LinkMode.SILENT);
      case 5 -> new Faults.BadLinks(links, instance, LinkMode.ONE_WAY);
      case 6 -> new Faults.BadLinks(links, instance, LinkMode.RESET);
      case 7 -> new Faults.FreezeTarget(cluster, targets.get(random.nextInt(targets.size())));
      default -> new Faults.KillAll(cluster);
    };
  }
}
