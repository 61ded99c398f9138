package dev.caroblb.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.scheduling.ContentionDriver.Caller;
import dev.caroblb.scheduling.ContentionDriver.Kind;
import dev.caroblb.scheduling.ContentionDriver.Outcome;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ContentionTest {
  /** Seven long generations fit on an engine: 20 engines start 17.5 of them per second. */
  private static final int ENGINES = 20;

  private static final int CAPACITY_OF_BURST = 175;
  private static final long CALM_MS = 30_000;
  private static final long BURST_MS = 10_000;
  private static final long SERVICE_MS = 8_000;

  private static final Kind LONG = kind("small", 3_400, Caller.RETURNS_ONCE);
  private static final Kind LONG_OF_LARGE = kind("large", 3_400, Caller.RETURNS_ONCE);
  private static final Kind LARGE = kind("big", 12_000, Caller.RETURNS_ONCE);
  private static final Kind REPEATING = kind("large", 3_400, Caller.REPEATS_AT_ONCE);
  private static final Kind SHORT = new Kind("s", 0, 2_210, 500, 1_500, Caller.RETURNS_ONCE);

  private final ContentionDriver driver = new ContentionDriver(ENGINES, 7);

  private static Kind kind(String workspace, long tokens, Caller caller) {
    return new Kind(workspace, 1, tokens, SERVICE_MS, 4_000, caller);
  }

  @Nested
  class Burst {
    private Map<Kind, Outcome> play(Map<Kind, Double> calm, Map<Kind, Double> burst) {
      Map<Kind, Outcome> before = driver.run(CALM_MS, calm);
      before.values().forEach(outcome -> assertEquals(0, outcome.rejections));
      Map<Kind, Outcome> during = driver.run(BURST_MS, burst);
      driver.run(SERVICE_MS, calm);
      Map<Kind, Outcome> after = driver.run(SERVICE_MS, calm);
      driver.run(SERVICE_MS, calm);
      after
          .values()
          .forEach(
              outcome ->
                  assertTrue(outcome.share() >= 0.98, outcome.inTime + " of " + outcome.offered));
      assertEquals(0, driver.rejectedWithRoom);
      return during;
    }

    /** Guards against a standing queue, and against rejecting what engines could serve. */
    @Test
    void isServedUpToCapacityAndLeavesNoQueue() {
      Map<Kind, Outcome> during = play(Map.of(LONG, 14.0), Map.of(LONG, 35.0));
      assertTrue(during.get(LONG).inTime >= CAPACITY_OF_BURST);
    }

    /** Guards against a workspace that takes the room of others by sending more. */
    @Test
    void delaysItsOwnWorkspaceFirst() {
      Map<Kind, Outcome> during =
          play(Map.of(LONG, 7.0, LONG_OF_LARGE, 7.0), Map.of(LONG, 7.0, LONG_OF_LARGE, 30.0));
      assertTrue(during.get(LONG).share() >= 0.95);
      assertTrue(during.get(LONG_OF_LARGE).inTime >= 0.5 * CAPACITY_OF_BURST);
    }

    /** Guards against a less urgent kind that is served better. */
    @Test
    void isServedByUrgency() {
      Map<Kind, Outcome> during =
          play(Map.of(LONG, 12.0, SHORT, 30.0), Map.of(LONG, 30.0, SHORT, 200.0));
      assertTrue(during.get(SHORT).share() >= during.get(LONG).share());
      assertTrue(during.get(SHORT).share() >= 0.9);
    }

    /** Guards against small requests that take all memory before a large one fits. */
    @Test
    void doesNotStarveLargeRequests() {
      Map<Kind, Outcome> during =
          play(Map.of(LONG, 10.0, LARGE, 0.8), Map.of(LONG, 25.0, LARGE, 0.8));
      assertTrue(during.get(LARGE).share() >= during.get(LONG).share());
    }
  }

  @Nested
  class RejectedCallers {
    /** Guards against callers that are served more because they repeat early and often. */
    @Test
    void gainNothingByRepeating() {
      int repeating = 0;
      int waiting = 0;
      for (int seed = 1; seed <= 12; seed++) {
        ContentionDriver each = new ContentionDriver(ENGINES, seed);
        each.run(CALM_MS, Map.of(LONG, 7.0, REPEATING, 7.0));
        Map<Kind, Outcome> during = each.run(BURST_MS, Map.of(LONG, 17.5, REPEATING, 17.5));
        each.run(2 * SERVICE_MS, Map.of(LONG, 7.0, REPEATING, 7.0));
        repeating += during.get(REPEATING).inTime + during.get(REPEATING).late;
        waiting += during.get(LONG).inTime + during.get(LONG).late;
      }
      // Both workspaces have equal shares of the room, whatever the numbers that they offered.
      assertTrue(repeating <= 1.02 * waiting, repeating + " and " + waiting);
    }

    /** Largest number of returns in an interval of this length. */
    private int mostIn(long intervalMs) {
      Map<Long, Integer> returns = new HashMap<>();
      driver.returnTimes.forEach(ms -> returns.merge(ms / intervalMs, 1, Integer::sum));
      return Collections.max(returns.values());
    }

    /** Guards against rejected callers that all return at one moment, or too late to be served. */
    @Test
    void returnSpreadOverTime() {
      driver.run(CALM_MS, Map.of(LONG, 14.0));
      driver.run(BURST_MS, Map.of(LONG, 35.0));
      assertTrue(driver.returnTimes.size() > 50);
      assertTrue(mostIn(1_000) <= CAPACITY_OF_BURST * 1_000 / BURST_MS);
      assertTrue(mostIn(100) <= 5);
      assertTrue(Collections.min(driver.retryAfters) >= 100);
      assertTrue(Collections.max(driver.retryAfters) <= 5 * SERVICE_MS / 3);
    }
  }

  @Nested
  class AnotherCoordinator {
    /** Guards against requests without an answer, and against a forecast that stays unknown. */
    @Test
    void forecastsWithinTwoSeconds() {
      driver.run(CALM_MS, Map.of(LONG, 14.0));
      Map<Kind, Outcome> before = driver.run(BURST_MS / 2, Map.of(LONG, 35.0));
      driver.replaceCoordinator();
      Map<Kind, Outcome> first = driver.run(2_000, Map.of(LONG, 35.0));
      int rejected = driver.retryAfters.size();
      Map<Kind, Outcome> second = driver.run(2_000, Map.of(LONG, 35.0));
      assertTrue(driver.retryAfters.size() > rejected);
      driver.run(3 * SERVICE_MS, Map.of(LONG, 1.0));
      for (Map<Kind, Outcome> part : List.of(before, first, second)) {
        assertEquals(part.get(LONG).offered, part.get(LONG).answered());
      }
      assertEquals(0, driver.queued());
    }
  }
}
