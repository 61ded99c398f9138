package dev.caroblb.core;

/** {@link MillisClock} for tests and simulations, which advance it themselves. */
public final class ManualMillisClock implements MillisClock {
  private long nowMs;
  private long wallMs;

  public ManualMillisClock(long wallMs) {
    this.wallMs = wallMs;
  }

  /** Advances both monotonic and wall-clock time. */
  public void advance(long deltaMs) {
    if (deltaMs < 0) {
      throw new IllegalArgumentException("a clock cannot go back by " + -deltaMs + " ms");
    }
    nowMs += deltaMs;
    wallMs += deltaMs;
  }

  @Override
  public long nowMs() {
    return nowMs;
  }

  @Override
  public long wallMs() {
    return wallMs;
  }
}
