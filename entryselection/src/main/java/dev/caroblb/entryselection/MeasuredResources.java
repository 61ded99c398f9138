package dev.caroblb.entryselection;

import dev.caroblb.core.LogLine;
import dev.caroblb.membership.InstanceResources;
import dev.caroblb.membership.LocalResources;
import java.util.Optional;

/**
 * Measures what is left of this instance: the smallest part of processor, link and connections that
 * is free. The processor and the link are averaged over some seconds, since a single burst says
 * little about the next one.
 */
public final class MeasuredResources implements LocalResources {
  private static final System.Logger LOGGER = System.getLogger(MeasuredResources.class.getName());

  /** Minimum time in milliseconds between two measurements. */
  private static final long INTERVAL_MS = 1_000;

  /** Weight of the latest measurement in the averages. */
  private static final double LATEST_WEIGHT = 0.3;

  /** Reported values are multiples of this, in percent. Each change is news for all instances. */
  private static final int STEP_PERCENT = 20;

  /** Distance in percent from a reported value from which another one is reported. */
  private static final double HYSTERESIS_PERCENT = 15;

  private static final double MAX_PERCENT = 100;

  /**
   * Part of the link or of the connections in use from which an entry counts as full. A busy
   * processor alone does not make an entry full: all entries would be avoided in turn.
   */
  private static final double FULL_FRACTION = 0.99;

  /** One kbit/s is one bit in a millisecond. */
  private static final double BITS_PER_BYTE = 8;

  private static final double MILLI = 1_000;

  private final InstanceLimits limits;
  private final UsageSource usage;
  private Optional<Long> measuredMs = Optional.empty();
  private long processorMs;
  private long linkBytes;
  private double processorUsed;
  private double linkUsed;
  private int reportedPercent = (int) MAX_PERCENT;

  /**
   * @param usage what this instance uses
   */
  public MeasuredResources(InstanceLimits limits, UsageSource usage) {
    this.limits = limits;
    this.usage = usage;
  }

  @Override
  public Optional<InstanceResources> at(long nowMs) {
    if (measuredMs.filter(lastMs -> nowMs - lastMs < INTERVAL_MS).isEmpty()) {
      measure(nowMs);
    }
    return Optional.of(
        new InstanceResources(limits.milliCores(), limits.linkKbps(), reportedPercent));
  }

  private void measure(long nowMs) {
    long processorBeforeMs = processorMs;
    long bytesBefore = linkBytes;
    processorMs = usage.processorMs();
    linkBytes = usage.linkBytes();
    if (measuredMs.isPresent()) {
      double elapsedMs = nowMs - measuredMs.get();
      processorUsed =
          average(
              processorUsed,
              (processorMs - processorBeforeMs) / (elapsedMs * limits.milliCores() / MILLI));
      linkUsed =
          average(
              linkUsed,
              (linkBytes - bytesBefore) * BITS_PER_BYTE / (elapsedMs * limits.linkKbps()));
    }
    measuredMs = Optional.of(nowMs);
    report();
  }

  private static double average(double before, double latest) {
    return before + LATEST_WEIGHT * (latest - before);
  }

  private void report() {
    double connectionsUsed = (double) usage.connections() / Math.max(1, limits.connections());
    boolean full = Math.max(connectionsUsed, linkUsed) >= FULL_FRACTION;
    double used = Math.max(connectionsUsed, Math.max(processorUsed, linkUsed));
    double free = Math.max(0, Math.min(MAX_PERCENT, MAX_PERCENT * (1 - used)));
    boolean wasFull = reportedPercent == 0;
    if (full == wasFull && Math.abs(free - reportedPercent) < HYSTERESIS_PERCENT) {
      return;
    }
    int steps = (int) Math.round(free / STEP_PERCENT) * STEP_PERCENT;
    int percent = full ? 0 : Math.max(STEP_PERCENT, steps);
    if (percent == reportedPercent) {
      return;
    }
    reportedPercent = percent;
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of("instance.resources")
            .with("free_percent", reportedPercent)
            .with("processor_used", percent(processorUsed))
            .with("link_used", percent(linkUsed))
            .with("connections_used", percent(connectionsUsed))
            .toString());
  }

  private static String percent(double fraction) {
    return Math.round(MAX_PERCENT * fraction) + "%";
  }
}
