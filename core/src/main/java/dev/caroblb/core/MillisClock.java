package dev.caroblb.core;

/** Source of time in milliseconds; tests replace it by {@link ManualMillisClock}. */
public interface MillisClock {
  /** Monotonic time in milliseconds; only differences are meaningful. */
  long nowMs();

  /** Wall-clock time in milliseconds since the Unix epoch. */
  long wallMs();
}
