package dev.caroblb.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FleetTest {
  private final Fleet fleet = new Fleet();

  private Target see(TargetView view, long nowMs) {
    return fleet.update(view, nowMs).orElseThrow();
  }

  @Nested
  class WhenMessagesArriveLate {
    /** Guards against new work for a leaving target because an older message came after. */
    @Test
    void leavingIsFinalWithinAnIncarnation() {
      see(Views.available(1, 0, 0), 0);
      see(Views.view(1, 1, TargetState.LEAVING, null), 10);
      assertFalse(see(Views.available(1, 0, 0), 20).eligible());
    }

    /** Guards against the state of a dead process that replaces that of its successor. */
    @Test
    void olderIncarnationChangesNothing() {
      see(Views.view(1, 2, TargetState.AVAILABLE, null), 0);
      assertEquals(Optional.empty(), fleet.update(Views.view(1, 1, TargetState.GONE, null), 10));
      assertEquals(1, fleet.serving(Views.KIND).size());
    }
  }

  @Nested
  class WhenAReportArrives {
    /** Guards against own calls counted twice, or as those of other instances. */
    @Test
    void tellsOwnLoadFromOthers() {
      Target target = see(Views.available(1, 0, 0), 0);
      PlacementRequest request = Views.request(1, 160, 0);
      assertTrue(fleet.start(request, target.placement(0), 100).isPresent());
      assertTrue(fleet.start(Views.request(2, 160, 0), target.placement(0), 900).isPresent());
      LoadReport load = new LoadReport(3, 0, 100, 1_000, 0, 500);
      see(Views.view(1, 1, TargetState.AVAILABLE, load), 1_000);
      assertEquals(2, target.othersRunning());
      assertEquals(89, target.othersBlocks());
      assertEquals(1, target.placedSinceReport());
    }

    /** Guards against a call that ended after the report and looks like one of others. */
    @Test
    void knowsCallsThatEndedSince() {
      Target target = see(Views.available(1, 0, 0), 0);
      assertTrue(fleet.start(Views.request(1, 160, 0), target.placement(0), 100).isPresent());
      assertTrue(fleet.end(1, 900).isPresent());
      LoadReport load = new LoadReport(1, 0, 11, 1_000, 0, 500);
      see(Views.view(1, 1, TargetState.AVAILABLE, load), 1_000);
      assertEquals(0, target.othersRunning());
    }
  }

  @Nested
  class WhenCacheEventsHaveGaps {
    /** Guards against full trust in a prefix whose eviction may have been lost. */
    @Test
    void trustsOlderPrefixesLess() {
      Target target = see(Views.available(1, 0, 0), 0);
      target.prefixes.apply(new CacheEvent(target.id(), 1, 1, 7L, true));
      target.prefixes.apply(new CacheEvent(target.id(), 1, 3, 8L, true));
      assertEquals(0.5, target.prefixes.cachedProbability(7L));
      assertEquals(1.0, target.prefixes.cachedProbability(8L));
    }
  }
}
