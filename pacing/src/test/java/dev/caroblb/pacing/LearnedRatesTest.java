package dev.caroblb.pacing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.TargetId;
import dev.caroblb.core.TargetRun;
import dev.caroblb.pacing.PacedTargets.Behaviour;
import dev.caroblb.pacing.PacedTargets.Outcome;
import dev.caroblb.routing.WarmUp;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongToDoubleFunction;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LearnedRatesTest {
  /** Fails the requests beyond a rate that may change over time. */
  private static Behaviour failsAbove(LongToDoubleFunction perSecond) {
    Deque<Long> lastSecond = new ArrayDeque<>();
    return ms -> {
      lastSecond.removeIf(earlier -> earlier <= ms - 1_000);
      lastSecond.add(ms);
      return lastSecond.size() > perSecond.applyAsDouble(ms) ? Outcome.FAILED : Outcome.ANSWERED;
    };
  }

  @Nested
  class StartedTarget {
    /** Guards against a rate that floods a target again and again, or leaves it nearly idle. */
    @Test
    void thatFailsWhenFloodedIsKeptBelowItsCapacity() {
      PacedTargets targets = new PacedTargets(failsAbove(ms -> 30));
      targets.run(80, 5_000);
      final long lostAtFirst = targets.count(Outcome.FAILED);
      targets.run(80, 15_000);
      long lostLater = targets.count(Outcome.FAILED) - lostAtFirst;
      assertTrue(targets.lost() <= 0.1, targets.state());
      assertTrue(lostLater <= 0.03 * 30 * 15, lostLater + " of " + targets.state());
      assertTrue(targets.count(Outcome.ANSWERED) >= 0.7 * 30 * 20, targets.state());
      assertEquals(1, targets.paced());
    }

    /** Guards against a rate that grows while the target cannot keep up, or that never recovers. */
    @Test
    void thatIsSlowForOneSecondGetsMoreAfterIt() {
      PacedTargets targets = new PacedTargets(ms -> ms < 1_000 ? Outcome.SLOW : Outcome.ANSWERED);
      targets.run(40, 10_000);
      assertTrue(targets.sentInFirstSecond <= 2 * PacedTargets.COLD_PER_SECOND, targets.state());
      assertTrue(targets.pacedUntilMs <= 5_000, targets.state());
      assertTrue(targets.count(Outcome.ANSWERED) >= 0.75 * 40 * 10, targets.state());
    }

    /** Guards against a target that is left idle although it answers everything well. */
    @Test
    void thatIsWellAtOnceLosesNextToNothing() {
      PacedTargets targets = new PacedTargets(ms -> Outcome.ANSWERED);
      targets.run(40, 10_000);
      assertTrue(targets.pacedUntilMs <= 3_000, targets.state());
      assertTrue(targets.count(Outcome.ANSWERED) >= 0.85 * 40 * 10, targets.state());
    }

    /** Guards against a target that gets all requests again whenever it answers for a moment. */
    @Test
    void thatFlapsGetsFewOfTheRequestsThatFail() {
      PacedTargets targets =
          new PacedTargets(ms -> ms % 3_000 < 2_000 ? Outcome.ANSWERED : Outcome.FAILED);
      targets.run(40, 30_000);
      // Without a pace a third of all requests, 400, fail.
      assertTrue(targets.count(Outcome.FAILED) <= 100, targets.state());
    }
  }

  @Nested
  class FiftyTargets {
    /** Guards against a total that floods targets which need time until they take their share. */
    @Test
    void thatComeBackTogetherTakeAllRequestsWithinSeconds() {
      Behaviour[] behaviours = new Behaviour[50];
      Arrays.setAll(behaviours, i -> failsAbove(ms -> Math.min(60, 10 + 0.01 * ms)));
      PacedTargets targets = new PacedTargets(behaviours);
      targets.run(1_000, 6_000);
      final long deniedBefore = targets.denied;
      targets.run(1_000, 5_000);
      assertTrue(targets.lost() <= 0.02, targets.state());
      assertEquals(0, targets.denied - deniedBefore, targets.state());
      assertEquals(0, targets.paced(), targets.state());
    }
  }

  @Nested
  class Start {
    private static final TargetRun RUN = new TargetRun(new TargetId("t"), 1);
    private static final FailureDomain ZONE = new FailureDomain("zone-a");

    private final LearnedRates learned = new LearnedRates();
    private final TargetLimits limits = TargetLimits.ofControl(Optional.of(learned));

    private void available(TargetRun run, String service, long nowMs) {
      limits.setWarmUps(Map.of("service", new WarmUp(5_000, 4)));
      limits.available(run, service, ZONE, AnnouncedWarmUp.WARM, nowMs);
    }

    /** Guards against an instance that starts and paces all targets, which run for a long time. */
    @Test
    void ofTheInstancePacesNoKnownTarget() {
      available(RUN, "service", 1_000);
      available(RUN, "service", 20_000);
      assertEquals(0, learned.count());
      available(new TargetRun(new TargetId("t"), 2), "service", 20_000);
      assertEquals(1, learned.count());
    }

    /** Guards against targets that are paced although their service names no warm-up. */
    @Test
    void ofATargetOfAnotherServicePacesNothing() {
      available(RUN, "service", 1_000);
      available(new TargetRun(new TargetId("u"), 1), "other", 20_000);
      assertEquals(0, learned.count());
    }

    /** Guards against a target that fails its requests and is flooded when it recovers. */
    @Test
    void isAlsoTheRecoveryOfATargetThatFailsItsRequests() {
      available(RUN, "service", 1_000);
      learned.add(new RunOutcomes(RUN, 100, 0, 2, 0), 5_000);
      assertEquals(0, learned.count());
      learned.add(new RunOutcomes(RUN, 1, 0, 5, 0), 7_000);
      assertEquals(Optional.of(4.0), learned.perSecond(RUN, 7_000));
    }

    /** Guards against a control instance that takes over and forgets what was learned. */
    @Test
    void ofAControlInstanceContinuesAtTheRateThatEntriesKnow() {
      available(RUN, "service", 1_000);
      learned.adopt(new LimitStatement(RUN, Optional.of(17.0), 0), 2_000);
      assertEquals(Optional.of(17.0), learned.perSecond(RUN, 2_000));
    }

    /** Guards against counts of a message that make the rate meaningless. */
    @Test
    void isNotCausedByImpossibleCounts() {
      available(RUN, "service", 1_000);
      learned.add(new RunOutcomes(RUN, -100, 0, 50, 0), 5_000);
      assertEquals(0, learned.count());
    }
  }
}
