package dev.caroblb.scheduling;

import java.util.random.RandomGenerator;

/**
 * Increasing numbers that differ from those of earlier processes of the same instance. Peers
 * identify an instance by name only and may still hold a number that an earlier process gave them.
 * The upper bits of each number identify the process.
 */
public final class ProcessSequence {
  private static final int COUNT_BITS = 32;

  private long last;

  public ProcessSequence(RandomGenerator random) {
    last = (long) random.nextInt(1, Integer.MAX_VALUE) << COUNT_BITS;
  }

  /** Increases the number and returns it. */
  public long next() {
    return ++last;
  }

  public static boolean sameProcess(long number, long other) {
    return number >>> COUNT_BITS == other >>> COUNT_BITS;
  }

  /** Whether a number was given out by the same process as another one, and not after it. */
  public static boolean covers(long latest, long number) {
    return sameProcess(latest, number) && number <= latest;
  }
}
