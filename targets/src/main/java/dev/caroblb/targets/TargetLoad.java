package dev.caroblb.targets;

import dev.caroblb.core.TargetId;
import dev.caroblb.core.TargetRun;

/**
 * Load that instances have put on a target.
 *
 * @param target the target
 * @param incarnation the run of the target that has the load
 * @param requests requests that run or wait there
 * @param tokens tokens that these requests are expected to hold in memory when they end
 * @param prefillTokens prompt tokens whose prefill is not known to be done
 */
public record TargetLoad(
    TargetId target, long incarnation, long requests, long tokens, long prefillTokens) {
  public TargetRun run() {
    return new TargetRun(target, incarnation);
  }

  public TargetLoad plus(TargetLoad other) {
    return new TargetLoad(
        target,
        incarnation,
        requests + other.requests,
        tokens + other.tokens,
        prefillTokens + other.prefillTokens);
  }

  /** Returns the negated load, for subtraction from a sum. */
  public TargetLoad negated() {
    return new TargetLoad(target, incarnation, -requests, -tokens, -prefillTokens);
  }

  public boolean isZero() {
    return requests == 0 && tokens == 0 && prefillTokens == 0;
  }
}
