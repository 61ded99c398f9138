package dev.caroblb.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.TargetId;
import dev.caroblb.core.TargetRun;
import dev.caroblb.targets.SpeedObservation;
import dev.caroblb.targets.SpeedSample;
import dev.caroblb.targets.TargetSpeed;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the coordinator with simulated engines of different speed. */
class UnevenEnginesTest {
  private static final int ENGINES = 20;
  private static final int SLOW_EVERY = 4;
  private static final double CALM = 6;
  private static final double BURST = 12;

  /** More than all engines together can take, so that requests are queued for room. */
  private static final double OVERLOAD = 20;

  private static SimulatedGroup group(double slowness, boolean withheld) {
    SimulatedGroup group = new SimulatedGroup(ENGINES);
    group.withheld = withheld;
    for (int i = 0; i < ENGINES; i += SLOW_EVERY) {
      group.engine(i).setSlowness(slowness);
    }
    return group;
  }

  private static SimulatedGroup afterBurst(double slowness, boolean withheld) {
    SimulatedGroup group = group(slowness, withheld);
    group.run(20_000, CALM);
    group.run(5_000, BURST);
    group.run(30_000, CALM);
    return group;
  }

  private static boolean allUsual(SimulatedGroup group) {
    for (int i = 0; i < ENGINES; i++) {
      if (!group.permille(i).equals(Optional.of(TargetSpeed.USUAL))) {
        return false;
      }
    }
    return true;
  }

  private static boolean slow(TargetId target) {
    return Integer.parseInt(target.name().substring(1)) % SLOW_EVERY == 0;
  }

  @Nested
  class SlowEngines {
    /** Guards against late streams at slow engines while usual ones have room. */
    @Test
    void areSkippedWhenTheirPausesWouldBeTooLong() {
      SimulatedGroup learned = afterBurst(3, false);
      SimulatedGroup unaware = afterBurst(3, true);
      assertTrue(learned.shareOfLongPauses() < unaware.shareOfLongPauses() / 10);
      assertTrue(learned.shareInTime() > 0.98, () -> "in time " + learned.shareInTime());
      assertTrue(unaware.shareInTime() < 0.95, () -> "in time " + unaware.shareInTime());
      assertTrue(learned.firstEventMs(0.95) < unaware.firstEventMs(0.95) / 2);
    }

    /** Guards against capacity left idle while requests wait for room. */
    @Test
    void takeRequestsWhenOthersHaveNoRoom() {
      SimulatedGroup group = group(3, false);
      group.run(20_000, CALM);
      group.chosen.clear();
      group.run(15_000, OVERLOAD);
      for (int i = 0; i < ENGINES; i += SLOW_EVERY) {
        assertTrue(group.chosen.contains(new TargetId("t" + i)), "idle: t" + i);
      }
    }

    /** Guards against slow engines that get no requests although they would finish them in time. */
    @Test
    void takeTheirShareWhenTheyMeetTheObjectives() {
      SimulatedGroup group = group(1.8, false);
      group.run(20_000, CALM);
      group.chosen.clear();
      group.run(20_000, CALM);
      double share = (double) group.chosen.stream().filter(id -> slow(id)).count();
      share /= group.chosen.size();
      assertTrue(share > 0.05 && share < 0.2, "share " + share);
    }

    /** Guards against engines that count as slow for long after they have recovered. */
    @Test
    void countAsUsualAgainAfterTheyRecover() {
      SimulatedGroup group = group(3, false);
      group.run(20_000, CALM);
      assertTrue(group.permille(0).orElseThrow() < 700);
      for (int i = 0; i < ENGINES; i += SLOW_EVERY) {
        group.engine(i).setSlowness(1);
      }
      group.run(60_000, CALM);
      assertTrue(allUsual(group), () -> group.lastReport.speeds().toString());
    }

    /** Guards against a restarted engine that is judged by its previous run. */
    @Test
    void areForgottenWhenTheyRestart() {
      SimulatedGroup group = group(3, false);
      group.run(20_000, CALM);
      TargetRun before = group.engine(0).info().run();
      group.add(0, 2, 1, SimulatedGroup.ZONE);
      group.run(3_000, 0);
      assertTrue(group.lastReport.speeds().stream().noneMatch(s -> s.run().equals(before)));
      assertEquals(Optional.empty(), group.permille(0));
    }
  }

  @Nested
  class EqualEngines {
    /** Guards against choices that change although all engines are equally fast. */
    @Test
    void areChosenAsWithoutObservations() {
      SimulatedGroup learned = afterBurst(1, false);
      assertTrue(allUsual(learned), () -> learned.lastReport.speeds().toString());
      assertEquals(afterBurst(1, true).chosen, learned.chosen);
    }

    /** Guards against one faulty instance that changes the choices for all. */
    @Test
    void areChosenAsBeforeDespiteAbsurdObservations() {
      SimulatedGroup disturbed = group(1, false);
      SimulatedGroup undisturbed = group(1, false);
      for (int second = 0; second < 30; second++) {
        disturbed.report(new InstanceId("faulty"), absurd(disturbed));
        undisturbed.report(new InstanceId("faulty"), List.of());
        disturbed.run(1_000, CALM);
        undisturbed.run(1_000, CALM);
      }
      assertEquals(undisturbed.chosen, disturbed.chosen);
      assertTrue(disturbed.lastReport.speeds().size() <= ENGINES);
    }

    private List<SpeedObservation> absurd(SimulatedGroup group) {
      List<SpeedObservation> observations = new ArrayList<>();
      TargetRun run = group.engine(0).info().run();
      for (int i = 0; i < 10; i++) {
        observations.add(
            new SpeedObservation(
                run,
                List.of(
                    new SpeedSample(-1, 1, 1),
                    new SpeedSample(1_000, 1, 1),
                    new SpeedSample(0, 0, 5_000),
                    new SpeedSample(0, -5, 5_000),
                    new SpeedSample(0, 5, -5_000),
                    new SpeedSample(0, 1, Long.MAX_VALUE))));
        observations.add(
            new SpeedObservation(
                new TargetRun(new TargetId("unknown" + i), 1),
                List.of(new SpeedSample(0, 10, 10_000))));
      }
      return observations;
    }
  }

  @Nested
  class Domains {
    private static final FailureDomain OTHER = new FailureDomain("zone-b");

    /** Guards against traffic between domains while engines nearby are as good. */
    @Test
    void keepRequestsInsideUntilTheirEnginesAreFull() {
      SimulatedGroup group = new SimulatedGroup(6);
      for (int i = 6; i < 12; i++) {
        group.add(i, 1, 1, OTHER);
      }
      // The time per prompt token is not known at first, and the tolerance small.
      group.run(10_000, 2);
      group.chosen.clear();
      group.run(20_000, 2);
      assertTrue(outside(group) < 0.02, () -> "calm " + outside(group));
      group.chosen.clear();
      group.run(10_000, 8);
      assertTrue(outside(group) > 0.2, () -> "burst " + outside(group));
      group.run(20_000, 2);
      group.chosen.clear();
      group.run(20_000, 2);
      assertTrue(outside(group) < 0.02, () -> "after the burst " + outside(group));
    }

    private double outside(SimulatedGroup group) {
      long outside =
          group.chosen.stream()
              .filter(id -> group.engines.get(id).info().domain().equals(OTHER))
              .count();
      return (double) outside / group.chosen.size();
    }
  }
}
