package dev.caroblb.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A short soak run with a fixed seed. */
@Timeout(value = 300, unit = TimeUnit.SECONDS)
class SoakTest {
  private static final long FAULT_PHASE_MS = 12_000;

  private static void assertNoViolations(long seed) throws Exception {
    SoakReport report = new SoakRun(new SoakSettings(seed, FAULT_PHASE_MS, 4, 2)).run();
    System.out.println(report);
    assertEquals(List.of(), report.violations(), () -> String.join("\n", report.faults()));
  }

  @Nested
  class FixedSeed {
    /** Guards against guarantees that hold only as long as faults do not overlap. */
    @Test
    void keepsGuaranteesUnderRandomFaults() throws Exception {
      assertNoViolations(1);
    }
  }
}
