package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.routing.WarmUp;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Cold targets, with all instances joined in memory. */
class ColdTargetsTest {
  private static final double RATE = 4;
  private static final double MAX_IN_ONE_SECOND = 1.5 * RATE + 5;
  private static final long WARM_UP_MS = 6_000;
  private static final int TARGETS = 3;
  private static final int ENTRIES = 40;
  private static final int PER_SECOND = 100;

  private final Random random = new Random(1);
  private final List<RecordingCaller> callers = new ArrayList<>();
  private final LimitedTargetGroup group =
      new LimitedTargetGroup(3, ENTRIES, TARGETS, Optional.of(new WarmUp(WARM_UP_MS, RATE)));

  ColdTargetsTest() {
    group.advance(2_000);
    run(2_000);
  }

  /** Lets requests arrive at random entries. */
  private void run(long forMs) {
    for (long ms = 0; ms < forMs; ms += 1_000 / PER_SECOND) {
      callers.add(group.arrive(random.nextInt(ENTRIES)));
      group.advance(1_000 / PER_SECOND);
    }
  }

  private long served() {
    return callers.stream().filter(c -> c.events.equals(List.of("answer 200 x"))).count();
  }

  private void assertBound(int target, long fromMs, long toMs) {
    long most = group.mostInOneSecond(target, fromMs, toMs);
    assertTrue(most <= MAX_IN_ONE_SECOND, most + " requests in one second");
  }

  @Nested
  class OneTarget {
    /** Guards against a rate that each instance uses for itself, or that nobody uses. */
    @Test
    void getsItsRateAndTheOthersTakeTheRest() {
      group.turnCold(0, WARM_UP_MS);
      final long fromMs = group.nowMs;
      run(WARM_UP_MS);
      group.advance(500);
      assertBound(0, fromMs, fromMs + WARM_UP_MS);
      long received = group.received(0, fromMs);
      assertTrue(received >= 0.8 * RATE * WARM_UP_MS / 1_000, received + " requests");
      assertEquals(callers.size(), served());
    }

    /** Guards against permits from the end of one warm-up that are used in the next one. */
    @Test
    void thatTurnsColdAgainIsNotFlooded() {
      group.turnCold(0, 2_000);
      run(5_000);
      final long fromMs = group.nowMs;
      group.turnCold(0, WARM_UP_MS);
      run(WARM_UP_MS);
      assertBound(0, fromMs, fromMs + WARM_UP_MS);
    }

    /** Guards against an announcement from before the warm-up that arrives during it. */
    @Test
    void staysColdWhenOlderAnnouncementsArrive() {
      group.turnCold(0, WARM_UP_MS);
      final long fromMs = group.nowMs;
      run(1_000);
      group.announceLate(0, 1_500);
      run(WARM_UP_MS - 1_000);
      assertBound(0, fromMs, fromMs + WARM_UP_MS);
    }

    /** Guards against instances that do not learn of a warm-up from a response to another one. */
    @Test
    void thatTellsItOnlyInAResponseIsKnownToAllInstances() {
      group.turnColdUnannounced(0, WARM_UP_MS);
      final long fromMs = group.nowMs;
      run(WARM_UP_MS);
      // Requests of the first 200 ms were sent before the first response and its report arrived.
      assertBound(0, fromMs + 200, fromMs + WARM_UP_MS);
    }

    /** Guards against a new run that gets all requests at once when its warm-up ends. */
    @Test
    void thatStartedGetsMoreStepByStepAfterItsWarmUp() {
      run(10_000);
      group.restartTarget(0, 2_000);
      final long fromMs = group.nowMs;
      run(3_000);
      long firstSecond = group.mostInOneSecond(0, fromMs + 2_000, fromMs + 2_500);
      assertTrue(firstSecond <= 3 * RATE, firstSecond + " requests in 500 ms");
      run(6_000);
      assertTrue(group.received(0, fromMs + 8_000) >= 20, "few requests after the warm-up");
      assertEquals(callers.size(), served() + unfinished());
    }

    private long unfinished() {
      return callers.stream().filter(c -> c.events.isEmpty()).count();
    }
  }

  @Nested
  class Contact {
    private void assertBoundDuring(Runnable loss) {
      group.turnCold(0, 20_000);
      final long fromMs = group.nowMs;
      run(3_000);
      loss.run();
      run(15_000);
      assertBound(0, fromMs, group.nowMs);
    }

    /** Guards against cut off entries that use more than their shares. */
    @Test
    void ofSomeEntriesIsLost() {
      assertBoundDuring(
          () -> {
            for (int i = 0; i < ENTRIES / 3; i++) {
              group.cutOff("entry-" + i);
            }
          });
    }

    /** Guards against permits of two control instances while entries change to the second one. */
    @Test
    void ofTheFirstControlInstanceIsLost() {
      assertBoundDuring(() -> group.cutOff("control-0"));
    }

    /** Guards against entries that use the whole rate when no control instance replies. */
    @Test
    void ofAllControlInstancesIsLost() {
      assertBoundDuring(
          () -> {
            for (int i = 0; i < 3; i++) {
              group.cutOff("control-" + i);
            }
          });
    }

    /** Guards against a restarted control instance that does not know the warm-up. */
    @Test
    void ofARestartedControlInstanceBegins() {
      assertBoundDuring(() -> group.restart("control-0"));
    }
  }

  @Nested
  class AllTargets {
    /** Guards against a domain that comes back cold at once and is flooded. */
    @Test
    void thatTurnColdTogetherEachGetTheirRate() {
      final long fromMs = group.nowMs;
      for (int i = 0; i < TARGETS; i++) {
        group.turnCold(i, WARM_UP_MS);
      }
      callers.clear();
      run(WARM_UP_MS);
      for (int i = 0; i < TARGETS; i++) {
        assertBound(i, fromMs, fromMs + WARM_UP_MS);
      }
      assertTrue(served() >= 0.8 * TARGETS * RATE * WARM_UP_MS / 1_000, served() + " served");
    }
  }
}
