package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.RefusalReason;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Request limits that targets name, with all instances joined in memory. */
class LimitedTargetsTest {
  private static final double LIMIT = 2.5;
  private static final int TARGETS = 3;

  /** Requests per second that reach targets as many times as the limits of all of them allow. */
  private static final int PER_SECOND = 40;

  private final Random random = new Random(1);
  private final List<RecordingCaller> callers = new ArrayList<>();

  private LimitedTargetGroup group(int entries) {
    LimitedTargetGroup group = new LimitedTargetGroup(3, entries, TARGETS);
    group.advance(2_000);
    return group;
  }

  /** Lets requests arrive at random entries. */
  private void run(LimitedTargetGroup group, int entries, long forMs) {
    for (long ms = 0; ms < forMs; ms += 1_000 / PER_SECOND) {
      callers.add(group.arrive(random.nextInt(entries)));
      group.advance(1_000 / PER_SECOND);
    }
  }

  private static void assertKept(LimitedTargetGroup group, int target, double limit, long namedMs) {
    long most = group.mostInWindow(target, namedMs);
    assertTrue(
        most <= LimitedTargetGroup.allowed(limit),
        most + " requests in 4 s, allowed " + LimitedTargetGroup.allowed(limit));
  }

  private long served() {
    return callers.stream().filter(c -> c.events.equals(List.of("answer 200 x"))).count();
  }

  @Nested
  class SomeTargets {
    /** Guards against instances that each use a limit which holds for all together. */
    @Test
    void takeWhatTheyNameAndOthersTakeTheRest() {
      LimitedTargetGroup group = group(9);
      run(group, 9, 2_000);
      group.limit(0, LIMIT);
      group.limit(1, LIMIT);
      final long namedMs = group.nowMs;
      run(group, 9, 15_000);
      group.advance(500);
      assertKept(group, 0, LIMIT, namedMs);
      assertKept(group, 1, LIMIT, namedMs);
      assertEquals(callers.size(), served());
    }

    /** Guards against a limited target that gets next to nothing. */
    @Test
    void receiveMostOfWhatTheyName() {
      LimitedTargetGroup group = group(9);
      group.limit(0, LIMIT);
      run(group, 9, 3_000);
      long fromMs = group.nowMs;
      run(group, 9, 12_000);
      assertTrue(group.received(0, fromMs) >= 0.8 * LIMIT * 12, group.received(0, fromMs) + "");
    }

    /** Guards against a limit that is kept after its target has ended it. */
    @Test
    void receiveTheirShareAgainWhenTheLimitEnds() {
      LimitedTargetGroup group = group(9);
      group.limit(0, 0);
      run(group, 9, 8_000);
      group.endLimit(0);
      run(group, 9, 6_000);
      long fromMs = group.nowMs;
      run(group, 9, 3_000);
      assertTrue(group.received(0, fromMs) >= 20, group.received(0, fromMs) + "");
    }

    /** Guards against limits whose permits accumulate while nobody uses them. */
    @Test
    void receiveNoBurstAfterAQuietTime() {
      LimitedTargetGroup group = group(9);
      group.limit(0, LIMIT);
      long namedMs = group.nowMs;
      run(group, 9, 2_000);
      group.advance(60_000);
      run(group, 9, 8_000);
      assertKept(group, 0, LIMIT, namedMs);
    }
  }

  @Nested
  class AllTargets {
    /** Guards against a request that waits although no target can take it. */
    @Test
    void requestsAreRefusedAtOnceWithTheTimeOfTheNextPermit() {
      LimitedTargetGroup group = group(9);
      for (int i = 0; i < TARGETS; i++) {
        group.limit(i, LIMIT);
      }
      long namedMs = group.nowMs;
      run(group, 9, 4_000);
      callers.clear();
      run(group, 9, 10_000);
      group.advance(200);
      for (int i = 0; i < TARGETS; i++) {
        assertKept(group, i, LIMIT, namedMs);
      }
      assertTrue(served() >= 0.8 * TARGETS * LIMIT * 10, served() + " served");
      for (RecordingCaller caller : callers) {
        assertEquals(1, caller.events.size());
        caller.refusals.forEach(
            refusal -> {
              assertEquals(RefusalReason.NO_TARGET, refusal.reason());
              assertTrue(
                  refusal.retryAfterMs() > 0 && refusal.retryAfterMs() <= 1_000 / LIMIT,
                  refusal.retryAfterMs() + " ms");
            });
      }
    }
  }

  @Nested
  class LostControlInstances {
    private void assertKeptWhile(Runnable loss, LimitedTargetGroup group, int entries) {
      group.limit(0, LIMIT);
      group.limit(1, LIMIT);
      long namedMs = group.nowMs;
      run(group, entries, 4_000);
      loss.run();
      run(group, entries, 10_000);
      group.advance(500);
      assertKept(group, 0, LIMIT, namedMs);
      assertKept(group, 1, LIMIT, namedMs);
      assertEquals(callers.size(), served());
    }

    /** Guards against permits of two control instances while entries change to the second one. */
    @Test
    void theFirstOneIsCutOff() {
      LimitedTargetGroup group = group(9);
      assertKeptWhile(() -> group.cutOff("control-0"), group, 9);
    }

    /** Guards against control instances that each give out all permits to their own entries. */
    @Test
    void someEntriesReachOnlyTheSecondOne() {
      LimitedTargetGroup group = group(9);
      assertKeptWhile(
          () -> {
            for (int i = 0; i < 4; i++) {
              group.cutLink("control-0", "entry-" + i);
            }
          },
          group,
          9);
    }

    /** Guards against a control instance that starts with permits for what was used before. */
    @Test
    void theFirstOneRestarts() {
      LimitedTargetGroup group = group(9);
      assertKeptWhile(() -> group.restart("control-0"), group, 9);
    }

    /** Guards against entries that each use the whole limit when no control instance replies. */
    @Test
    void allAreCutOff() {
      LimitedTargetGroup group = group(9);
      assertKeptWhile(
          () -> {
            for (int i = 0; i < 3; i++) {
              group.cutOff("control-" + i);
            }
          },
          group,
          9);
    }

    /** Guards against limited targets that get nothing when a control instance missed a limit. */
    @Test
    void theFirstOneMissesTheStatements() {
      LimitedTargetGroup group = group(9);
      group.limit(0, LIMIT);
      group.cutOff("control-0");
      run(group, 9, 200);
      group.rejoin("control-0");
      run(group, 9, 4_000);
      long fromMs = group.nowMs;
      run(group, 9, 8_000);
      assertTrue(group.received(0, fromMs) >= 0.8 * LIMIT * 8, group.received(0, fromMs) + "");
    }

    /** Guards against a restarted entry that uses a limited target as if it named no limit. */
    @Test
    void entriesRestart() {
      LimitedTargetGroup group = group(9);
      assertKeptWhile(
          () -> {
            for (int i = 0; i < 9; i++) {
              group.restart("entry-" + i);
            }
          },
          group,
          9);
    }
  }

  @Nested
  class ManyEntries {
    /** Guards against one request of each entry that has not heard of the limit itself. */
    @Test
    void learnOfLimitsFromEachOther() {
      LimitedTargetGroup group = group(95);
      group.limit(0, 0.5);
      long namedMs = group.nowMs;
      run(group, 95, 15_000);
      assertKept(group, 0, 0.5, namedMs);
    }
  }
}
