package dev.caroblb.forwarding;

import java.util.Optional;

/** The time at which a planned stop of this instance aborts the requests that still run. */
final class DrainLimit {
  private Optional<Long> limitAtMs = Optional.empty();

  void set(long atMs) {
    limitAtMs = Optional.of(atMs);
  }

  /** Time in milliseconds left until the limit; empty unless the instance is stopping. */
  Optional<Long> leftMs(long nowMs) {
    return limitAtMs.map(atMs -> Math.max(0, atMs - nowMs));
  }

  /** The time left until the limit as a value of a log line. */
  String logValue(long nowMs) {
    return leftMs(nowMs).map(String::valueOf).orElse("none");
  }
}
