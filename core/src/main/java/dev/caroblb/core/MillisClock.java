package dev.caroblb.core;

/** Source of time in milliseconds, so that decisions can be tested with a clock moved by hand. */
public interface MillisClock {
  /** Monotonic time in milliseconds; only differences are meaningful. */
  long nowMs();

  /** Wall-clock time in milliseconds since the Unix epoch. */
  long wallMs();
}
