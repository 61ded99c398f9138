package dev.caroblb.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TransitTimesTest {
  private final TransitTimes transit = new TransitTimes(5);

  @Nested
  class PeerWithAFastClock {
    /** Guards against a transit time that is hidden by the error of the other clock. */
    @Test
    void doesNotShortenTheTransit() {
      long sentAtMs = 1_000;
      long heldMs = 100_000;
      long transitMs = 500;
      long peerHeldMs = heldMs * 102 / 100;
      long nowMs = sentAtMs + heldMs + transitMs;
      Optional<Long> bound = transit.transit(Optional.of(new Echo(5, sentAtMs, peerHeldMs)), nowMs);
      assertTrue(bound.orElseThrow() >= transitMs);
    }
  }

  @Nested
  class EchoOfAnEarlierRun {
    /** Guards against a clock of an earlier run of this instance that is taken for the own one. */
    @Test
    void boundsNothing() {
      assertEquals(Optional.empty(), transit.transit(Optional.of(new Echo(4, 0, 0)), 10));
    }
  }
}
