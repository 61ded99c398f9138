package dev.caroblb.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.TargetId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PredictivePolicyTest {
  private final Fleet fleet = new Fleet();
  private final List<PlacementOutcome> outcomes = new ArrayList<>();
  private final PlacementHandler handler =
      new PlacementHandler(
          fleet, new PredictivePolicy(fleet, PredictiveSettings.defaults(), 1), outcomes::add);

  private void update(TargetView view, long nowMs) {
    handler.handle(new PlacementMessage.TargetSeen(view), nowMs);
  }

  private Optional<TargetId> place(PlacementRequest request, long nowMs) {
    outcomes.clear();
    handler.handle(new PlacementMessage.PlaceCall(request), nowMs);
    return outcomes.get(0) instanceof PlacementOutcome.Placed placed
        ? Optional.of(placed.placement().target())
        : Optional.empty();
  }

  @Nested
  class WhenMemoryIsNearlyFull {
    /** Guards against a call sent to a target that will preempt it. */
    @Test
    void theCallWaits() {
      update(PlacementSamples.available(1, 16, 950), 0);
      assertEquals(Optional.empty(), place(PlacementSamples.request(1, 400, 0), 0));
    }

    /** Guards against a call that waits until it cannot meet its deadline any more. */
    @Test
    void theCallStartsWhenItsDeadlineComesNear() {
      update(PlacementSamples.available(1, 16, 950), 0);
      assertTrue(place(PlacementSamples.request(1, 400, 0), 45_000).isPresent());
    }

    /** Guards against a call that waits forever because its own memory exceeds the limit. */
    @Test
    void anIdleTargetTakesAnyCall() {
      update(PlacementSamples.available(1, 0, 0), 0);
      assertTrue(place(PlacementSamples.request(1, 15_000, 0), 0).isPresent());
    }

    /** Guards against a cached prefix that outweighs the risk of full memory. */
    @Test
    void cachedPrefixDoesNotOutweighTheRisk() {
      update(PlacementSamples.available(1, 14, 850), 0);
      update(PlacementSamples.available(2, 4, 200), 0);
      TargetId full = new TargetId("engine-1");
      handler.handle(new PlacementMessage.CacheSeen(new CacheEvent(full, 1, 1, 9, true)), 0);
      assertEquals(
          Optional.of(new TargetId("engine-2")), place(PlacementSamples.request(1, 400, 9), 0));
    }
  }

  @Nested
  class WhenTargetsAreAlike {
    /** Guards against instances that all choose the same target between two reports. */
    @Test
    void callsAreSpread() {
      for (int i = 0; i < 12; i++) {
        update(PlacementSamples.available(i, 3, 100), 0);
      }
      Set<TargetId> chosen = new HashSet<>();
      for (int i = 0; i < 12; i++) {
        chosen.add(place(PlacementSamples.request(i, 100, 0), 0).orElseThrow());
      }
      assertTrue(chosen.size() >= 10, "chose only " + chosen);
    }

    /** Guards against ignoring a cached prefix that saves time. */
    @Test
    void prefersTheCachedPrefix() {
      for (int i = 0; i < 12; i++) {
        update(PlacementSamples.available(i, 3, 100), 0);
      }
      TargetId holder = new TargetId("engine-5");
      handler.handle(new PlacementMessage.CacheSeen(new CacheEvent(holder, 1, 1, 9, true)), 0);
      assertEquals(Optional.of(holder), place(PlacementSamples.request(1, 800, 9), 0));
    }
  }

  @Nested
  class WhenATargetLeaves {
    /** Guards against new work for a leaving target. */
    @Test
    void getsNoCall() {
      update(PlacementSamples.available(1, 0, 0), 0);
      update(PlacementSamples.view(1, 1, TargetState.LEAVING, null), 10);
      assertEquals(Optional.empty(), place(PlacementSamples.request(1, 100, 0), 20));
    }
  }

  @Nested
  class WhenReportsStop {
    /** Guards against relying on an old report of free memory. */
    @Test
    void riskGrowsWithTheAgeOfTheReport() {
      update(PlacementSamples.available(1, 3, 200), 0);
      Target target = fleet.serving(PlacementSamples.MODEL).get(0);
      Forecast call = new Forecast();
      call.clear();
      handler.tick(0);
      double fresh = target.forecast.risk(1_000, call, 1);
      handler.tick(20_000);
      assertTrue(target.forecast.risk(1_000, call, 1) > fresh);
    }
  }

  @Nested
  class WhenAnEngineHasNoModel {
    /** Guards against a placement duty that fails on the report of an engine without models. */
    @Test
    void reportAndTickAreHandled() {
      TargetView empty =
          new TargetView(
              new TargetId("engine-1"),
              1,
              new FailureDomain("domain-1"),
              "127.0.0.1:7001",
              List.of(),
              TargetState.AVAILABLE,
              Optional.of(new LoadReport(0, 0, 0, 1_000, 0, 0)));
      update(empty, 0);
      handler.tick(PlacementHandler.TICK_MS);
      assertEquals(Optional.empty(), place(PlacementSamples.request(1, 50, 0), 300));
    }
  }
}
