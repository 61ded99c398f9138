package dev.caroblb.targets;

/**
 * Times that an instance measured at one target in one load class.
 *
 * @param loadClass load at the target, as defined by {@link LoadClass}
 * @param count number of times
 * @param totalMs sum of the times in milliseconds
 */
public record SpeedSample(int loadClass, int count, long totalMs) {
  /** A longer mean time says nothing about speed: the target or the connection was stalled. */
  private static final long MAX_MEAN_MS = 60_000;

  /** Whether the sample can be true; a peer may send anything. */
  public boolean plausible() {
    return loadClass >= 0
        && loadClass < LoadClass.COUNT
        && count > 0
        && totalMs >= 0
        && totalMs / count <= MAX_MEAN_MS;
  }

  public double meanMs() {
    return (double) totalMs / count;
  }
}
