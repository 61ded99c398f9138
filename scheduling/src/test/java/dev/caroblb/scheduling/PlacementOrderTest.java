package dev.caroblb.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.TargetId;
import dev.caroblb.core.TargetRun;
import dev.caroblb.targets.PlacementNeed;
import dev.caroblb.targets.TargetLoad;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Parts that decide the order and the return of requests. */
class PlacementOrderTest {
  private static PlacementNeed need(int caller) {
    return new PlacementNeed(
        PlacementNeed.Purpose.START,
        "service",
        100,
        75,
        Set.of(),
        new FailureDomain("zone-a"),
        false,
        1,
        1_800,
        Optional.of("workspace"),
        Optional.of("request:" + caller),
        0,
        7_200,
        39_000,
        0,
        Optional.empty());
  }

  @Nested
  class Shares {
    private final FairShares shares = new FairShares();

    /** Guards against a workspace that gets another share than its weight. */
    @Test
    void followWeights() {
      shares.setWeight("heavy", 2);
      assertEquals(0, shares.arrived("heavy", 100));
      assertEquals(0, shares.arrived("light", 100));
      assertEquals(50, shares.arrived("heavy", 100));
      assertEquals(100, shares.arrived("light", 100));
    }

    /** Guards against a workspace that saves up shares while it sends nothing. */
    @Test
    void doNotAccumulate() {
      shares.arrived("busy", 100);
      shares.served(shares.arrived("busy", 100));
      assertEquals(100, shares.arrived("idle", 100));
    }

    /** Guards against a workspace that pays for requests that were rejected. */
    @Test
    void costNothingWhenWithdrawn() {
      shares.arrived("workspace", 100);
      shares.withdrawn("workspace", 100);
      assertEquals(0, shares.arrived("workspace", 100));
    }
  }

  @Nested
  class Callers {
    private final RejectedCallers callers = new RejectedCallers();

    /** Guards against memory that grows with the number of rejected callers. */
    @Test
    void areRememberedInBoundedMemory() {
      for (int i = 0; i < 2 * RejectedCallers.MAX_CALLERS; i++) {
        callers.remember(need(i), new RejectedCallers.Rejection(0, 0, 1_000, 0));
      }
      assertEquals(RejectedCallers.MAX_CALLERS, callers.size());
      callers.expire(60_000);
      assertEquals(0, callers.size());
    }

    /** Guards against callers taken for one that repeats, because they send the same contents. */
    @Test
    void areNotToldApartByCommonContents() {
      callers.accepted(need(1), 500);
      callers.accepted(need(1), 600);
      callers.remember(need(1), new RejectedCallers.Rejection(0, 0, 5_000, 0));
      assertTrue(callers.find(need(1), 1_000).isEmpty());
      callers.accepted(need(2), 500);
      callers.remember(need(2), new RejectedCallers.Rejection(0, 0, 5_000, 0));
      callers.accepted(need(2), 700);
      callers.remember(need(2), new RejectedCallers.Rejection(0, 0, 5_000, 0));
      assertTrue(callers.find(need(2), 1_000).isPresent());
    }

    /** Guards against a place that is kept for a caller long gone. */
    @Test
    void areForgottenAfterTheirTime() {
      callers.remember(need(1), new RejectedCallers.Rejection(0, 0, 1_000, 0));
      assertTrue(callers.find(need(1), 1_000).isPresent());
      assertTrue(callers.find(need(1), 60_000).isEmpty());
    }
  }

  @Nested
  class Forecast {
    private static final InstanceId ENTRY = new InstanceId("entry");
    private final LearnedRoomForecast forecast = new LearnedRoomForecast();

    private static TargetRun run(int engine) {
      return new TargetRun(new TargetId("t" + engine), 1);
    }

    private void endOne(int engine, long nowMs) {
      forecast.released(
          "service", ENTRY, new TargetLoad(run(engine).target(), 1, 1, 100, 0), 0, nowMs);
    }

    private double delayMs(long nowMs) {
      RoomForecast.Demand demand = new RoomForecast.Demand(100, 1, false);
      return forecast.delayMs("service", demand, 0, nowMs).orElseThrow();
    }

    /** Guards against a forecast that counts on the memory of engines that are gone. */
    @Test
    void countsOnlyEnginesThatAreLeft() {
      for (int i = 0; i < 40; i++) {
        forecast.placed("service", ENTRY, run(i), 100, 1_000);
      }
      forecast.observed(1_000);
      for (int i = 0; i < 20; i++) {
        forecast.observed(2_000);
        endOne(i, 2_000);
      }
      double before = delayMs(2_001);
      for (int i = 20; i < 40; i++) {
        forecast.lost(ENTRY, run(i));
      }
      forecast.observed(5_000);
      assertEquals(50, before, 5);
      assertTrue(delayMs(5_000) > 3 * before);
    }

    /** Guards against rejections before anything is known. */
    @Test
    void isUnknownAtFirst() {
      forecast.placed("service", ENTRY, run(1), 100, 1_000);
      assertTrue(forecast.rate("service", 1_500).isEmpty());
    }
  }

  @Nested
  class Returns {
    /** Guards against callers that return at the rate at which they were rejected. */
    @Test
    void followTheRateOfFreedRoom() {
      ReturnSchedule schedule = new ReturnSchedule(new Random(1));
      for (int i = 0; i < 10; i++) {
        long delayMs = schedule.delayMs("service", 500, 200, 60_000, 0);
        assertTrue(delayMs >= 500 + 200 * i && delayMs <= 1.1 * (500 + 200 * i));
      }
    }
  }
}
