package dev.caroblb.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * When each instance was hit by an unplanned fault, and when it was being stopped as planned. Times
 * are those of {@link System#nanoTime()}.
 */
final class FaultHistory {
  private static final class Period {
    private final long beginNanos = System.nanoTime();
    private long endNanos = Long.MAX_VALUE;

    boolean overlaps(long fromNanos, long untilNanos) {
      return beginNanos <= untilNanos && endNanos >= fromNanos;
    }

    boolean open() {
      return endNanos == Long.MAX_VALUE;
    }
  }

  private final Map<String, List<Period>> faults = new HashMap<>();
  private final Map<String, List<Period>> stops = new HashMap<>();

  synchronized void faultBegan(Collection<String> instances) {
    instances.forEach(instance -> begin(faults, instance));
  }

  synchronized void faultEnded(Collection<String> instances) {
    instances.forEach(instance -> end(faults, instance));
  }

  synchronized void stopBegan(String instance) {
    begin(stops, instance);
  }

  synchronized void stopEnded(String instance) {
    end(stops, instance);
  }

  /** Whether an unplanned fault hit the instance at any time since {@code fromNanos}. */
  synchronized boolean faultSince(String instance, long fromNanos) {
    return overlaps(faults, instance, fromNanos);
  }

  /** Whether a planned stop of the instance was in progress at any time since {@code fromNanos}. */
  synchronized boolean stopSince(String instance, long fromNanos) {
    return overlaps(stops, instance, fromNanos);
  }

  private static void begin(Map<String, List<Period>> periods, String instance) {
    periods.computeIfAbsent(instance, key -> new ArrayList<>()).add(new Period());
  }

  private static void end(Map<String, List<Period>> periods, String instance) {
    periods.getOrDefault(instance, List.of()).stream()
        .filter(Period::open)
        .findFirst()
        .ifPresent(period -> period.endNanos = System.nanoTime());
  }

  private static boolean overlaps(
      Map<String, List<Period>> periods, String instance, long fromNanos) {
    long nowNanos = System.nanoTime();
    return periods.getOrDefault(instance, List.of()).stream()
        .anyMatch(period -> period.overlaps(fromNanos, nowNanos));
  }
}
