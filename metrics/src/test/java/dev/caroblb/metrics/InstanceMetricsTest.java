package dev.caroblb.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.RetryReason;
import dev.caroblb.core.Ring;
import java.lang.management.ManagementFactory;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class InstanceMetricsTest {
  private final InstanceMetrics metrics = new InstanceMetrics();

  private void assertExported(String line) {
    assertTrue(metrics.text().lines().anyMatch(line::equals), () -> line + "\n" + metrics.text());
  }

  @Nested
  class AtTheStart {
    /** Guards against counters that are exported only after their first event. */
    @Test
    void exportsEveryReasonAtZero() {
      for (RefusalReason reason : RefusalReason.values()) {
        assertExported(
            "caroblb_refusals_total{kind=\""
                + reason.kind().wireName()
                + "\",reason=\""
                + reason.wireName()
                + "\"} 0.0");
      }
      for (RetryReason reason : RetryReason.values()) {
        assertExported("caroblb_retries_total{reason=\"" + reason.wireName() + "\"} 0.0");
      }
    }
  }

  @Nested
  class WithSeveralFailureDomains {
    /**
     * Guards against a counter whose directions are swapped or whose name differs from the docs.
     */
    @Test
    void bytesAreExportedByDirection() {
      metrics.countBytesToOtherDomain(5);
      metrics.countBytesFromOtherDomain(7);
      assertExported("caroblb_bytes_between_domains_total{direction=\"sent\"} 5.0");
      assertExported("caroblb_bytes_between_domains_total{direction=\"received\"} 7.0");
    }
  }

  @Nested
  class WithTokens {
    /** Guards against histograms without a bucket at a latency objective. */
    @Test
    void bucketsIncludeLatencyObjectives() {
      metrics.recordTimeToFirstToken(610);
      metrics.recordTimeToFirstToken(611);
      metrics.recordTokenGap(32);
      metrics.recordTokenGap(33);
      assertExported("caroblb_first_token_seconds_bucket{le=\"0.61\"} 1");
      assertExported("caroblb_first_token_seconds_bucket{le=\"+Inf\"} 2");
      assertExported("caroblb_between_tokens_seconds_bucket{le=\"0.032\"} 1");
      assertExported("caroblb_between_tokens_seconds_bucket{le=\"+Inf\"} 2");
    }

    /** Guards against stall time that counts normal gaps or only a part of a long gap. */
    @Test
    void stallTimeIsTheSumOfLongGaps() {
      metrics.recordTokenGap(200);
      metrics.recordTokenGap(250);
      metrics.recordTokenGap(1_000);
      assertExported("caroblb_stall_seconds_total 1.25");
    }

    /**
     * Guards against an allocation for each token; an instance records tens of thousands a second.
     */
    @Test
    void recordingDoesNotAllocate() {
      ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
      record(20_000);
      long before = threads.getCurrentThreadAllocatedBytes();
      record(20_000);
      long perRecord = (threads.getCurrentThreadAllocatedBytes() - before) / 20_000;
      assertEquals(0, perRecord, "bytes allocated for each iteration");
    }

    private void record(int count) {
      for (int i = 0; i < count; i++) {
        metrics.recordTokenGap(i % 300);
        metrics.countRefusal(RefusalReason.NO_TARGET);
        metrics.countRetry(RetryReason.CONNECT_FAILED);
      }
    }
  }

  @Nested
  class WithValuesOfOtherModules {
    /**
     * Guards against counters whose source was garbage collected, and rings that are not exported.
     */
    @Test
    void exportsCurrentValues() {
      Ring<String> ring = new Ring<>("admission", 1);
      metrics.addRing(ring);
      metrics.addConfigurationNumberGauge(() -> 7);
      metrics.addRunningStreamsGauge(() -> 3);
      metrics.countPreemptions(2);
      assertTrue(ring.offer("a"));
      ring.offer("b");
      System.gc();
      assertExported("caroblb_ring_depth{ring=\"admission\"} 1.0");
      assertExported("caroblb_ring_refusals_total{ring=\"admission\"} 1.0");
      assertExported("caroblb_configuration_number 7.0");
      assertExported("caroblb_streams_running 3.0");
      assertExported("caroblb_preemptions_total 2.0");
    }
  }
}
