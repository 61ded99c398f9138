package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.Payload;
import dev.caroblb.core.TargetId;
import dev.caroblb.routing.EngineLimits;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class GenerationDurationsTest {
  private static final int EVENT_TOKENS = 4;
  private static final GenerationSize SIZE = new GenerationSize(3_000, 1_000, Optional.of(10L));

  private final GenerationDurations durations = new GenerationDurations();
  private final Target target =
      new Target(
          new TargetInfo(
              new TargetId("t0"), 1, "service", "10.0.0.1:80", new FailureDomain("zone-a")));

  private static Exchange exchange() {
    return ForwardingFixture.exchange(7, Optional.of(SIZE));
  }

  private long upperMs() {
    return durations.upperMs(exchange());
  }

  /** Completes a generation that was sent 500 ms after its arrival. */
  private void complete(int events, long firstEventMs, long eventMs) {
    Exchange exchange = exchange();
    long nowMs = 500;
    exchange.startAttempt(target, Optional.empty(), Optional.empty(), nowMs);
    nowMs += firstEventMs;
    for (int i = 0; i < events; i++) {
      exchange.framing().add(Payload.ofText("id: " + i + "\n\n"));
      exchange.recordPart(nowMs);
      nowMs += eventMs;
    }
    durations.completed(exchange);
  }

  @Nested
  class WithoutObservations {
    /** Guards against admitting generations unconditionally until one has been observed. */
    @Test
    void assumesTheDefaultPace() {
      assertEquals(1_000 + 1_000 * 30, upperMs());
    }
  }

  @Nested
  class WithObservations {
    /** Guards against an estimate for the expected tokens, which generations often exceed. */
    @Test
    void coversTheMaximumOutputAtTheObservedPace() {
      durations.setEngineLimits(
          Map.of("service", new EngineLimits(24, 34_000, true, true, EVENT_TOKENS)));
      for (int i = 0; i < 50; i++) {
        complete(200, 300, 40);
      }
      assertEquals(300.0 + 1_000.0 * 40 / EVENT_TOKENS, (double) upperMs(), 10);
    }

    /** Guards against an estimate that most generations of varying pace exceed. */
    @Test
    void coversTheDeviation() {
      for (int i = 0; i < 50; i++) {
        complete(200, 300, i % 2 == 0 ? 5 : 15);
      }
      assertTrue(upperMs() >= 300 + 1_000 * 15, () -> "estimate " + upperMs());
    }

    /** Guards against a pace that is derived from the time between a few events. */
    @Test
    void shortGenerationsDoNotChangeThePace() {
      complete(3, 300, 500);
      assertEquals(300 * 3 + 1_000 * 30, upperMs());
    }
  }
}
