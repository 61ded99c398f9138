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

  private void assertShows(String line) {
    assertTrue(metrics.text().lines().anyMatch(line::equals), () -> line + "\n" + metrics.text());
  }

  @Nested
  class AtTheStart {
    /** Guards against reasons that appear only after their first event. */
    @Test
    void showsEveryReasonAtZero() {
      for (RefusalReason reason : RefusalReason.values()) {
        assertShows(
            "caroblb_refusals_total{kind=\""
                + reason.kind().wireName()
                + "\",reason=\""
                + reason.wireName()
                + "\"} 0.0");
      }
      for (RetryReason reason : RetryReason.values()) {
        assertShows("caroblb_retries_total{reason=\"" + reason.wireName() + "\"} 0.0");
      }
    }
  }

  @Nested
  class WithTokens {
    /** Guards against histograms that cannot tell whether the promised times were kept. */
    @Test
    void bucketsContainThePromisedTimes() {
      metrics.firstToken(610);
      metrics.firstToken(611);
      metrics.betweenTokens(32);
      metrics.betweenTokens(33);
      assertShows("caroblb_first_token_seconds_bucket{le=\"0.61\"} 1");
      assertShows("caroblb_first_token_seconds_bucket{le=\"+Inf\"} 2");
      assertShows("caroblb_between_tokens_seconds_bucket{le=\"0.032\"} 1");
      assertShows("caroblb_between_tokens_seconds_bucket{le=\"+Inf\"} 2");
    }

    /** Guards against stall time that includes ordinary gaps or only a part of a long one. */
    @Test
    void stallTimeIsTheSumOfLongGaps() {
      metrics.betweenTokens(200);
      metrics.betweenTokens(250);
      metrics.betweenTokens(1_000);
      assertShows("caroblb_stall_seconds_total 1.25");
    }

    /**
     * Guards against garbage for each token, of which a daemon records tens of thousands a second.
     */
    @Test
    void recordingDoesNotAllocate() {
      ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
      record(20_000);
      long before = threads.getCurrentThreadAllocatedBytes();
      record(20_000);
      long perRecord = (threads.getCurrentThreadAllocatedBytes() - before) / 20_000;
      assertEquals(0, perRecord, "bytes for each recording");
    }

    private void record(int count) {
      for (int i = 0; i < count; i++) {
        metrics.betweenTokens(i % 300);
        metrics.refused(RefusalReason.NO_TARGET);
        metrics.retried(RetryReason.CONNECT_FAILED);
      }
    }
  }

  @Nested
  class WithSourcesOfOtherSlices {
    /** Guards against totals whose source was collected, or a ring that is not shown. */
    @Test
    void showsTheirCurrentValues() {
      Ring<String> ring = new Ring<>("admission", 1);
      metrics.addRing(ring);
      metrics.showConfigurationNumber(() -> 7);
      metrics.showStreams(() -> 3);
      metrics.preempted(2);
      assertTrue(ring.offer("a"));
      ring.offer("b");
      System.gc();
      assertShows("caroblb_ring_depth{ring=\"admission\"} 1.0");
      assertShows("caroblb_ring_refusals_total{ring=\"admission\"} 1.0");
      assertShows("caroblb_configuration_number 7.0");
      assertShows("caroblb_streams_running 3.0");
      assertShows("caroblb_preemptions_total 2.0");
    }
  }
}
