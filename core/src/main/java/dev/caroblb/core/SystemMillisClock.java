package dev.caroblb.core;

/** {@link MillisClock} that reads the clocks of the system. */
public final class SystemMillisClock implements MillisClock {
  private static final long NANOS_PER_MS = 1_000_000L;

  private final long originNanos = System.nanoTime();

  @Override
  public long nowMs() {
    return (System.nanoTime() - originNanos) / NANOS_PER_MS;
  }

  @Override
  public long wallMs() {
    return System.currentTimeMillis();
  }
}
