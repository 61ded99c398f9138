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
    /** Guards against underestimating the transit time because the clock of the peer runs fast. */
    @Test
    void doesNotShortenTheTransit() {
      long sentAtMs = 1_000;
      long heldMs = 100_000;
      long transitMs = 500;
      long peerHeldMs = heldMs * 102 / 100;
      long nowMs = sentAtMs + heldMs + transitMs;
      Optional<Long> bound =
          transit.maxTransitMs(Optional.of(new Echo(5, sentAtMs, peerHeldMs)), nowMs);
      assertTrue(bound.orElseThrow() >= transitMs);
    }
  }

  @Nested
  class EchoOfAnEarlierRun {
    /** Guards against using a time from the clock of an earlier run of this instance. */
    @Test
    void givesNoBound() {
      assertEquals(Optional.empty(), transit.maxTransitMs(Optional.of(new Echo(4, 0, 0)), 10));
    }
  }
}
