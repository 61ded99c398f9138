package dev.caroblb.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FleetTest {
  private final Fleet fleet = new Fleet();

  private Target update(TargetView view, long nowMs) {
    return fleet.update(view, nowMs).orElseThrow();
  }

  @Nested
  class WhenMessagesArriveLate {
    /** Guards against new work for a leaving target after an outdated message arrives late. */
    @Test
    void leavingIsFinalWithinAnIncarnation() {
      update(PlacementSamples.available(1, 0, 0), 0);
      update(PlacementSamples.view(1, 1, TargetState.LEAVING, null), 10);
      assertFalse(update(PlacementSamples.available(1, 0, 0), 20).eligible());
    }

    /** Guards against a late message of a dead process that replaces its successor's state. */
    @Test
    void olderIncarnationChangesNothing() {
      update(PlacementSamples.view(1, 2, TargetState.AVAILABLE, null), 0);
      assertEquals(
          Optional.empty(), fleet.update(PlacementSamples.view(1, 1, TargetState.GONE, null), 10));
      assertEquals(1, fleet.serving(PlacementSamples.MODEL).size());
    }
  }

  @Nested
  class WhenAReportArrives {
    /** Guards against own calls that count twice or as calls of other instances. */
    @Test
    void separatesOwnLoadFromOthers() {
      Target target = update(PlacementSamples.available(1, 0, 0), 0);
      PlacementRequest request = PlacementSamples.request(1, 160, 0);
      assertTrue(fleet.start(request, target.placement(0), 100).isPresent());
      assertTrue(
          fleet.start(PlacementSamples.request(2, 160, 0), target.placement(0), 900).isPresent());
      LoadReport load = new LoadReport(3, 0, 100, 1_000, 0, 500);
      update(PlacementSamples.view(1, 1, TargetState.AVAILABLE, load), 1_000);
      assertEquals(2, target.othersRunning());
      assertEquals(89, target.othersBlocks());
      assertEquals(1, target.placedSinceReport());
    }

    /** Guards against counting an own call that ended after the report as one of others. */
    @Test
    void knowsCallsThatEndedSince() {
      Target target = update(PlacementSamples.available(1, 0, 0), 0);
      assertTrue(
          fleet.start(PlacementSamples.request(1, 160, 0), target.placement(0), 100).isPresent());
      assertTrue(fleet.end(1, 900).isPresent());
      LoadReport load = new LoadReport(1, 0, 11, 1_000, 0, 500);
      update(PlacementSamples.view(1, 1, TargetState.AVAILABLE, load), 1_000);
      assertEquals(0, target.othersRunning());
    }
  }

  @Nested
  class WhenCacheEventsHaveGaps {
    /** Guards against certainty about a cached prefix whose eviction event may be lost. */
    @Test
    void lowersProbabilityOfOlderPrefixes() {
      Target target = update(PlacementSamples.available(1, 0, 0), 0);
      target.prefixes.apply(new CacheEvent(target.id(), 1, 1, 7L, true));
      target.prefixes.apply(new CacheEvent(target.id(), 1, 3, 8L, true));
      assertEquals(0.5, target.prefixes.cachedProbability(7L));
      assertEquals(1.0, target.prefixes.cachedProbability(8L));
    }
  }
}
