package dev.caroblb.admission;

import java.util.SplittableRandom;

/** Delay before a retry: random from a base to three times the previous delay, with a maximum. */
final class DecorrelatedJitter {
  // About one round trip within a region, so that a first retry costs little.
  private static final long BASE_MS = 10;
  private static final long MAX_MS = 2_000;

  private final SplittableRandom random;

  DecorrelatedJitter(long seed) {
    this.random = new SplittableRandom(seed);
  }

  long next(long previousMs) {
    long upper = Math.max(BASE_MS, previousMs) * 3;
    return Math.min(MAX_MS, random.nextLong(BASE_MS, upper + 1));
  }
}
