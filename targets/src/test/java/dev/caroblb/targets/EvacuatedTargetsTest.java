package dev.caroblb.targets;

import static java.util.stream.Collectors.toSet;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.TargetId;
import dev.caroblb.pacing.AnnouncedWarmUp;
import dev.caroblb.pacing.TargetLimits;
import dev.caroblb.routing.EngineLimits;
import dev.caroblb.routing.WarmUp;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** The choice of targets while failure domains are evacuated. */
class EvacuatedTargetsTest {
  private static final FailureDomain A = new FailureDomain("zone-a");
  private static final FailureDomain B = new FailureDomain("zone-b");
  private static final PlacementNeed NEED =
      new PlacementNeed(PlacementNeed.Purpose.START, "service", 100, 50, Set.of(), A, true, 1, 800);

  private final TargetLimits limits = new TargetLimits();
  private final TargetPool pool = new TargetPool(new Random(1), List.of(), limits);

  private static TargetInfo info(int index, FailureDomain domain) {
    return new TargetInfo(
        new TargetId("t" + index), 1, "service", "10.0.0." + index + ":80", domain);
  }

  private static Optional<FailureDomain> domainOf(Optional<Target> target) {
    return target.map(chosen -> chosen.info().domain());
  }

  private Set<TargetId> withFreeMemory() {
    return pool.byFreeMemory("service", 0).stream()
        .map(free -> free.target().id())
        .collect(toSet());
  }

  @BeforeEach
  void addTargets() {
    pool.setEngineLimits(Map.of("service", new EngineLimits(24, 34_000, true, true, 4)));
    for (int i = 0; i < 4; i++) {
      pool.available(info(i, i < 2 ? A : B));
    }
  }

  @Nested
  class OneDomain {
    /** Guards against any way of choosing a target that forgets the order. */
    @Test
    void isNotChosenFrom() {
      Target first = pool.choose(NEED, 0).orElseThrow();
      assertEquals(A, first.info().domain());
      pool.setEvacuated(Set.of(A), 0);
      for (int i = 0; i < 20; i++) {
        assertEquals(Optional.of(B), domainOf(pool.choose(NEED, 0)));
        assertEquals(Optional.of(B), domainOf(pool.chooseWithRoom(NEED, Set.of(), 0)));
        assertEquals(Set.of(info(2, B).id(), info(3, B).id()), withFreeMemory());
        assertEquals(Optional.of(B), domainOf(pool.chooseDestination(NEED, 9, 0)));
        assertEquals(Optional.of(B), domainOf(pool.chooseBackup(NEED, first, 0)));
      }
      assertEquals(Optional.empty(), pool.usable(first.info().id(), "service", 0));
      assertFalse(pool.staying(first));
      assertEquals(Set.of(info(0, A).id(), info(1, A).id()), pool.excluded("service", 0));
      assertEquals(2 * 34_000, pool.admittedTokens());
    }

    /** Guards against permits for targets that nothing may be sent to. */
    @Test
    void hasNoPermits() {
      assertTrue(limits.heard(info(0, A).run(), Optional.of(100.0), 0, 1));
      assertTrue(pool.permitWaitMs(NEED, 10).isPresent());
      pool.setEvacuated(Set.of(A), 0);
      assertEquals(Optional.empty(), pool.permitWaitMs(NEED, 10));
      assertEquals(Optional.empty(), pool.chooseLimited(NEED, 2_000));
      assertFalse(pool.permitExpected(NEED, 2_000));
    }

    /** Guards against targets that start during an evacuation and get requests. */
    @Test
    void isNotChosenFromAfterARestartOfItsTargets() {
      pool.setEvacuated(Set.of(A, B), 0);
      pool.available(info(9, A));
      assertEquals(Optional.empty(), pool.choose(NEED, 0));
    }

    /** Guards against targets that stay unused after the order was withdrawn. */
    @Test
    void isChosenFromAgainAfterTheWithdrawal() {
      pool.setEvacuated(Set.of(A), 0);
      pool.setEvacuated(Set.of(), 0);
      assertEquals(Optional.of(A), domainOf(pool.choose(NEED, 0)));
    }
  }

  @Nested
  class WithAWarmUp {
    /** Guards against a burst at targets that became cold while their domain was evacuated. */
    @Test
    void areColdAfterTheWithdrawal() {
      limits.setWarmUps(Map.of("service", new WarmUp(1_000, 24)));
      for (int i = 0; i < 4; i++) {
        TargetInfo info = info(i, i < 2 ? A : B);
        limits.available(info.run(), "service", info.domain(), AnnouncedWarmUp.WARM, 0);
      }
      pool.setEvacuated(Set.of(A), 5_000);
      assertFalse(limits.limited(info(0, A).run(), 5_000));
      pool.setEvacuated(Set.of(), 9_000);
      assertTrue(limits.limited(info(0, A).run(), 9_500));
      assertFalse(limits.limited(info(2, B).run(), 9_500));
      assertFalse(limits.limited(info(0, A).run(), 10_000));
    }
  }

  @Nested
  class AllDomains {
    /** Guards against requests that wait for a target though none can take them. */
    @Test
    void leaveNothingToWaitFor() {
      assertFalse(pool.allEvacuated("service"));
      pool.setEvacuated(Set.of(A), 0);
      assertFalse(pool.allEvacuated("service"));
      assertTrue(pool.leaving(info(2, B).id(), 1, 0).isPresent());
      assertTrue(pool.leaving(info(3, B).id(), 1, 0).isPresent());
      assertTrue(pool.allEvacuated("service"));
      assertFalse(pool.allEvacuated("other"));
      assertFalse(pool.anyUsable(NEED, 0));
      assertEquals(Optional.empty(), pool.nextAcceptingMs(NEED, 0));
    }
  }
}
