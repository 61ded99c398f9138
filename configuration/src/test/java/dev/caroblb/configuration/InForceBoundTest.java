package dev.caroblb.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests that a publish is in force everywhere within 9 s. */
class InForceBoundTest {
  private static final long BOUND_MS = 9_000;
  private static final int ENTRY = 5;

  private final Simulation simulation = new Simulation(46);

  @BeforeEach
  void waitForFirstLeases() {
    simulation.faulty = false;
    simulation.advance(10_000);
  }

  private long untilInForce(Publish publish, long sinceMs) {
    while (simulation.declaredInForce < publish.number()) {
      simulation.advance(10);
      assertTrue(simulation.timeMs - sinceMs < BOUND_MS, "not in force within the bound");
    }
    return simulation.timeMs - sinceMs;
  }

  @Nested
  class WithoutFaults {
    /** Guards against acknowledgements that are delayed until a second renewal. */
    @Test
    void takesAboutOneRenewal() {
      long sinceMs = simulation.timeMs;
      long tookMs = untilInForce(simulation.publish(ENTRY, 1, 1), sinceMs);
      assertTrue(tookMs <= EntryRole.RENEW_MS + 200, () -> "took " + tookMs + " ms");
    }
  }

  @Nested
  class WithACutOffEntry {
    /**
     * Guards against an unreachable entry that delays the publish beyond its lease, or that still
     * admits calls under the old number.
     */
    @Test
    void takesAtMostTheLeaseOfTheEntry() {
      SimulatedNode cutOff = simulation.nodes.get(3);
      cutOff.isolated = true;
      long sinceMs = simulation.timeMs;
      untilInForce(simulation.publish(ENTRY, 1, 1), sinceMs);
      assertFalse(cutOff.admits());
      assertEquals(0, cutOff.view.snapshot().number());
    }
  }

  @Nested
  class WithALeaderLostAfterAcceptance {
    /** Guards against a leader change that loses an accepted publish or exceeds the bound. */
    @Test
    void takesAtMostAnElectionAndALease() {
      long sinceMs = simulation.timeMs;
      Publish publish = simulation.publish(ENTRY, 1, 1);
      simulation.advance(100);
      SimulatedNode leader = simulation.group.leader().orElseThrow();
      assertEquals(publish.number(), leader.state.number(), "accepted before the leader is lost");
      leader.isolated = true;
      untilInForce(publish, sinceMs);
    }
  }
}
