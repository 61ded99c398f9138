package dev.caroblb.pacing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.TargetId;
import dev.caroblb.core.TargetRun;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TargetLimitsTest {
  private static final TargetRun RUN = new TargetRun(new TargetId("t"), 1);

  private final TargetLimits limits = new TargetLimits();

  private boolean heard(double perSecond, long nowMs) {
    return limits.heard(RUN, Optional.of(perSecond), nowMs - 30, nowMs);
  }

  private int permits(long fromMs, long toMs) {
    int permits = 0;
    for (long ms = fromMs; ms < toMs; ms += 10) {
      if (limits.permits(RUN, ms)) {
        limits.take(RUN, ms);
        permits++;
      }
    }
    return permits;
  }

  @Nested
  class Statement {
    /** Guards against a response from before a limit that ends it. */
    @Test
    void responseToAnEarlierRequestDoesNotEndTheLimit() {
      assertTrue(heard(2.5, 1_000));
      assertFalse(limits.heard(RUN, Optional.empty(), 990, 1_010));
      assertTrue(limits.limited(RUN, 1_010));
      assertTrue(limits.heard(RUN, Optional.empty(), 1_001, 1_040));
      assertFalse(limits.limited(RUN, 1_040));
    }

    /** Guards against a limit that returns with a statement that arrives late. */
    @Test
    void earlierStatementDoesNotReturnAfterTheEnd() {
      heard(2.5, 1_000);
      limits.heard(RUN, Optional.empty(), 1_500, 1_550);
      assertFalse(limits.received(new LimitStatement(RUN, Optional.of(2.5), 1_000), 2_000));
      assertFalse(limits.limited(RUN, 2_000));
    }

    /** Guards against values of a message that make the rate meaningless. */
    @Test
    void withImpossibleValuesIsIgnored() {
      for (double perSecond : new double[] {-1, Double.NaN}) {
        assertFalse(limits.received(new LimitStatement(RUN, Optional.of(perSecond), 0), 1_000));
      }
      assertFalse(limits.received(new LimitStatement(RUN, Optional.of(1.0), -1), 1_000));
      assertFalse(limits.limited(RUN, 1_000));
    }

    /** Guards against state that grows with each run of a target. */
    @Test
    void isForgottenWithTheRun() {
      heard(2.5, 1_000);
      limits.forget(RUN);
      assertEquals(List.of(), limits.statements(1_000));
    }

    /** Guards against ends of limits that are kept forever. */
    @Test
    void ofAnEndedLimitIsForgottenAfterSomeTime() {
      heard(2.5, 1_000);
      limits.heard(RUN, Optional.empty(), 1_500, 1_550);
      limits.expire(2_000);
      assertEquals(1, limits.statements(2_000).size());
      limits.expire(70_000);
      assertEquals(List.of(), limits.statements(70_000));
    }

    /**
     * Guards against limits of ended runs, whose statements arrived late, that are kept forever.
     */
    @Test
    void isForgottenIfItIsNotRepeatedForALongTime() {
      heard(2.5, 1_000);
      limits.expire(600_000);
      assertTrue(limits.limited(RUN, 600_000));
      limits.expire(601_000);
      assertFalse(limits.limited(RUN, 601_000));
    }
  }

  @Nested
  class Permits {
    /** Guards against a rate other than the one that the target named. */
    @Test
    void areGivenAtTheNamedRate() {
      limits.setShare(9, 9);
      heard(2.5, 1_000);
      assertEquals(25, permits(1_000, 11_010));
    }

    /** Guards against a burst after a time without requests. */
    @Test
    void accrueForHalfASecondAtMost() {
      limits.setShare(9, 9);
      heard(10, 1_000);
      assertTrue(limits.waitMs(RUN, 1_000) > 0);
      assertEquals(5, permits(60_000, 60_010) + permits(60_010, 60_050));
    }

    /** Guards against a target that gets no request that would show the end of its limit. */
    @Test
    void areGivenNowAndThenIfTheTargetTakesNothing() {
      limits.setShare(9, 9);
      heard(0, 1_000);
      assertEquals(5, permits(1_000, 21_100));
    }

    /** Guards against a limit that is so large that its permits overflow. */
    @Test
    void ofAHugeLimitAreAlwaysAvailable() {
      limits.setShare(9, 9);
      heard(1e300, 1_000);
      assertTrue(limits.waitMs(RUN, 1_000) <= 1);
      assertEquals(100, permits(2_000, 3_000));
    }

    /** Guards against instances that use their shares while a control instance gives them out. */
    @Test
    void ofTheOwnShareWaitForTheSilenceOfTheCoordinator() {
      heard(9, 1_000);
      limits.setShare(1, 9);
      limits.coordinatorHeard(1_000);
      assertEquals(0, permits(1_000, 3_490));
      assertEquals(1, permits(3_490, 3_510));
      limits.coordinatorHeard(4_490);
      assertEquals(0, permits(4_500, 6_980));
    }

    /** Guards against asking the control instance again before it expects a permit. */
    @Test
    void areExpectedAfterTheTimeOfADenial() {
      heard(2.5, 1_000);
      assertTrue(limits.permitExpected(RUN, 1_000));
      limits.denied(RUN, 1_400);
      assertFalse(limits.permitExpected(RUN, 1_399));
      assertEquals(300, limits.waitMs(RUN, 1_100));
      assertTrue(limits.permitExpected(RUN, 1_400));
    }

    /** Guards against a denial that holds back requests after the limit was raised. */
    @Test
    void areExpectedAfterAChangeOfTheLimit() {
      heard(0, 1_000);
      limits.denied(RUN, 5_000);
      heard(100, 1_100);
      assertTrue(limits.permitExpected(RUN, 1_100));
    }
  }
}
