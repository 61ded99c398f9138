package dev.caroblb.forwarding;

import dev.caroblb.core.TargetId;

/**
 * Work that instances have given to a target.
 *
 * @param target the target
 * @param incarnation the run of the target that has the work
 * @param requests requests that run or wait there
 * @param tokens tokens that these requests are expected to hold in memory when they end
 * @param unreadTokens tokens of prompts that are not known to be read
 */
public record TargetWork(
    TargetId target, long incarnation, long requests, long tokens, long unreadTokens) {
  TargetWork plus(TargetWork other) {
    return new TargetWork(
        target,
        incarnation,
        requests + other.requests,
        tokens + other.tokens,
        unreadTokens + other.unreadTokens);
  }

  /** The same work, to be taken off a sum. */
  TargetWork negative() {
    return new TargetWork(target, incarnation, -requests, -tokens, -unreadTokens);
  }

  boolean empty() {
    return requests == 0 && tokens == 0 && unreadTokens == 0;
  }
}
