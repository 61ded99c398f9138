package dev.caroblb.entryselection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.membership.InstanceResources;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MeasuredResourcesTest {
  private static final long SECOND_MS = 1_000;

  private long processorMs;
  private long linkBytes;
  private long connections;
  private long nowMs = 5_000;
  private final MeasuredResources resources =
      new MeasuredResources(
          new InstanceLimits(360, 7_000, 3_900),
          new UsageSource() {
            @Override
            public long processorMs() {
              return processorMs;
            }

            @Override
            public long linkBytes() {
              return linkBytes;
            }

            @Override
            public long connections() {
              return connections;
            }
          });

  private int freePercentAfter(int seconds, long processorMsPerSecond, long bytesPerSecond) {
    InstanceResources latest = resources.at(nowMs).orElseThrow();
    for (int i = 0; i < seconds; i++) {
      nowMs += SECOND_MS;
      processorMs += processorMsPerSecond;
      linkBytes += bytesPerSecond;
      latest = resources.at(nowMs).orElseThrow();
    }
    return latest.freePercent();
  }

  @Nested
  class FreePart {
    /** Guards against an idle entry that reports load because it has just started. */
    @Test
    void isWholeAtTheStart() {
      processorMs = 3_000;
      assertEquals(100, freePercentAfter(1, 5, 1_000));
    }

    /** Guards against a link that fills up while the processor is idle. */
    @Test
    void followsACrowdedLink() {
      assertEquals(0, freePercentAfter(15, 10, 900_000));
    }

    /** Guards against a processor that is busy while the link is idle. */
    @Test
    void followsABusyProcessor() {
      assertEquals(20, freePercentAfter(15, 290, 1_000));
    }

    /** Guards against an entry that stays avoided after its load has ended. */
    @Test
    void isWholeAgainAfterTheLoad() {
      freePercentAfter(15, 350, 1_000);
      assertEquals(100, freePercentAfter(15, 5, 1_000));
    }

    /** Guards against an entry without connections left that gets further callers. */
    @Test
    void countsConnections() {
      connections = 3_900;
      assertEquals(0, freePercentAfter(2, 5, 1_000));
    }

    /** Guards against a report for each small change, which all instances would handle. */
    @Test
    void changesRarely() {
      int changes = 0;
      int last = freePercentAfter(1, 100, 1_000);
      for (int i = 0; i < 60; i++) {
        int next = freePercentAfter(1, i % 2 == 0 ? 120 : 160, 1_000);
        changes += next == last ? 0 : 1;
        last = next;
      }
      assertTrue(changes <= 2, changes + " changes");
    }
  }
}
