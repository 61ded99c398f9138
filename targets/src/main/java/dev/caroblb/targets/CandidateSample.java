package dev.caroblb.targets;

import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

/** Draws the targets among which an instance chooses. */
final class CandidateSample {
  /**
   * Number of candidates sampled for a request by all instances together. Load that others added in
   * the last tenths of a second is not known yet, so with many instances the least loaded target
   * would get the requests of all of them. With few instances, a choice among all targets causes
   * fewer preemptions.
   */
  private static final int CANDIDATES_OF_ALL_INSTANCES = 300;

  private static final int MIN_CANDIDATES = 4;

  private final RandomGenerator random;
  private int instances = 1;

  CandidateSample(RandomGenerator random) {
    this.random = random;
  }

  /** Sets the number of instances that choose targets. */
  void setInstances(int count) {
    instances = Math.max(1, count);
  }

  /** Draws the candidates for a request that this instance places itself. */
  List<Target> draw(List<Target> from) {
    return draw(Math.max(MIN_CANDIDATES, CANDIDATES_OF_ALL_INSTANCES / instances), from);
  }

  /** Draws a number of candidates; the list is reordered. */
  List<Target> draw(int count, List<Target> from) {
    for (int i = from.size() - 1; i > 0; i--) {
      Collections.swap(from, i, random.nextInt(i + 1));
    }
    return from.subList(0, Math.min(count, from.size()));
  }
}
