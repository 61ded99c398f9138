package dev.caroblb.metrics;

import dev.caroblb.core.Duty;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.RetryReason;
import dev.caroblb.core.Ring;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.LongStream;

/**
 * Metrics of one instance in the Prometheus format. All meters are registered before the first
 * event, so that recording needs no lookup or allocation and every reason is exported as 0 from the
 * start. Recording is thread-safe.
 */
public final class InstanceMetrics {
  /** A longer gap between two tokens counts as stall time. */
  public static final long STALL_GAP_MS = 200;

  private static final double MS_PER_SECOND = 1_000.0;

  /** Includes 610 ms, the objective for the 95th percentile. */
  private static final long[] FIRST_TOKEN_BUCKETS_MS = {
    25, 50, 100, 200, 400, 610, 1_000, 2_000, 5_000, 10_000, 30_000
  };

  /** Includes 32 ms, the objective for the 95th percentile, and the stall threshold. */
  private static final long[] BETWEEN_TOKENS_BUCKETS_MS = {
    4, 8, 16, 24, 32, 48, 64, 100, STALL_GAP_MS, 500, 1_000, 5_000
  };

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Map<RefusalReason, Counter> refusals = new EnumMap<>(RefusalReason.class);
  private final Map<RetryReason, Counter> retries = new EnumMap<>(RetryReason.class);
  private final Timer firstToken;
  private final Timer betweenTokens;
  private final Counter stallSeconds;
  private final Counter preemptions;
  private final Counter bytesToOtherDomains;
  private final Counter bytesFromOtherDomains;

  /** Sources of counters, kept here because the registry holds only weak references to them. */
  private final List<LongSupplier> sources = new ArrayList<>();

  public InstanceMetrics() {
    for (RefusalReason reason : RefusalReason.values()) {
      refusals.put(
          reason,
          Counter.builder("caroblb.refusals")
              .description("Calls that did not complete, by reason")
              .tag("kind", reason.kind().wireName())
              .tag("reason", reason.wireName())
              .register(registry));
    }
    for (RetryReason reason : RetryReason.values()) {
      retries.put(
          reason,
          Counter.builder("caroblb.retries")
              .description("Calls and resumes sent again, by reason")
              .tag("reason", reason.wireName())
              .register(registry));
    }
    firstToken = timer("caroblb.first.token", "Time to the first token", FIRST_TOKEN_BUCKETS_MS);
    betweenTokens =
        timer("caroblb.between.tokens", "Time between tokens", BETWEEN_TOKENS_BUCKETS_MS);
    stallSeconds =
        Counter.builder("caroblb.stall.seconds")
            .description("Sum of the gaps between tokens above " + STALL_GAP_MS + " ms")
            .register(registry);
    preemptions =
        Counter.builder("caroblb.preemptions")
            .description("Preemptions reported by engines")
            .register(registry);
    bytesToOtherDomains = domainCounter("sent");
    bytesFromOtherDomains = domainCounter("received");
  }

  private Counter domainCounter(String direction) {
    return Counter.builder("caroblb.bytes.between.domains")
        .description("Bytes of bodies between this instance and targets in other failure domains")
        .tag("direction", direction)
        .register(registry);
  }

  private Timer timer(String name, String description, long[] bucketsMs) {
    return Timer.builder(name)
        .description(description)
        .serviceLevelObjectives(
            LongStream.of(bucketsMs).mapToObj(Duration::ofMillis).toArray(Duration[]::new))
        .register(registry);
  }

  /** Counts a call that did not complete. */
  public void countRefusal(RefusalReason reason) {
    refusals.get(reason).increment();
  }

  /** Counts a call or resume that is sent again. */
  public void countRetry(RetryReason reason) {
    retries.get(reason).increment();
  }

  /** Records the time from the arrival of a call to its first token. */
  public void recordTimeToFirstToken(long elapsedMs) {
    firstToken.record(elapsedMs, TimeUnit.MILLISECONDS);
  }

  /** Records the time between two tokens of a stream; a long gap adds to the stall time. */
  public void recordTokenGap(long elapsedMs) {
    betweenTokens.record(elapsedMs, TimeUnit.MILLISECONDS);
    if (elapsedMs > STALL_GAP_MS) {
      stallSeconds.increment(elapsedMs / MS_PER_SECOND);
    }
  }

  /** Counts bytes of a request to a target in another failure domain. */
  public void countBytesToOtherDomain(long bytes) {
    bytesToOtherDomains.increment((double) bytes);
  }

  /** Counts bytes of a response from a target in another failure domain. */
  public void countBytesFromOtherDomain(long bytes) {
    bytesFromOtherDomains.increment((double) bytes);
  }

  /** Adds the preemptions of an engine since its previous report. */
  public void countPreemptions(long count) {
    preemptions.increment((double) count);
  }

  /** Registers the depth of a ring and the number of messages that it rejected. */
  public void addRing(Ring<?> ring) {
    Gauge.builder("caroblb.ring.depth", ring, Ring::depth)
        .description("Messages queued in a ring")
        .tag("ring", ring.name())
        .strongReference(true)
        .register(registry);
    addCounter(
        "caroblb.ring.refusals",
        "Messages rejected by a full ring",
        "ring",
        ring.name(),
        ring::rejected);
  }

  /** Registers the metrics of a duty's ring and the number of exceptions in the duty. */
  public void addDuty(Duty<?> duty) {
    addRing(duty.ring());
    addCounter(
        "caroblb.duty.faults",
        "Exceptions thrown while a duty processed messages",
        "duty",
        duty.ring().name(),
        duty::faults);
  }

  /** Registers the number of the active configuration of this instance. */
  public void addConfigurationNumberGauge(LongSupplier number) {
    addGauge("caroblb.configuration.number", "Number of the active configuration", number);
  }

  /** Registers the number of running streams of this instance. */
  public void addRunningStreamsGauge(LongSupplier running) {
    addGauge("caroblb.streams.running", "Running streams", running);
  }

  /** Registers a gauge whose value is read from the given source. */
  public void addGauge(String name, String description, LongSupplier value) {
    Gauge.builder(name, value, LongSupplier::getAsLong)
        .description(description)
        .strongReference(true)
        .register(registry);
  }

  /** Registers a counter with one tag, whose total is read from the given source. */
  public void addCounter(
      String name, String description, String tag, String tagValue, LongSupplier total) {
    sources.add(total);
    FunctionCounter.builder(name, total, LongSupplier::getAsLong)
        .description(description)
        .tag(tag, tagValue)
        .register(registry);
  }

  /** All meters in the Prometheus text format. */
  public String text() {
    return registry.scrape();
  }
}
