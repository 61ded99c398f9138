package dev.caroblb.forwarding;

/** What this instance knows of a target and has sent to it. */
final class Target {
  /** First time for which a target that failed gets no requests while others can take them. */
  private static final long MIN_PENALTY_MS = 250;

  private static final long MAX_PENALTY_MS = 4_000;

  private final TargetInfo info;
  private boolean leaving;
  private int running;
  private long runningTokens;
  private long penaltyUntilMs = Long.MIN_VALUE;
  private long penaltyMs = MIN_PENALTY_MS;

  Target(TargetInfo info) {
    this.info = info;
  }

  TargetInfo info() {
    return info;
  }

  boolean leaving() {
    return leaving;
  }

  void leave() {
    leaving = true;
  }

  int running() {
    return running;
  }

  long runningTokens() {
    return runningTokens;
  }

  void started(long tokens) {
    running++;
    runningTokens += tokens;
  }

  void ended(long tokens) {
    running--;
    runningTokens -= tokens;
  }

  /** A request failed for a reason that lies with the target. */
  void failed(long nowMs) {
    penaltyUntilMs = nowMs + penaltyMs;
    penaltyMs = Math.min(2 * penaltyMs, MAX_PENALTY_MS);
  }

  void succeeded() {
    penaltyMs = MIN_PENALTY_MS;
    penaltyUntilMs = Long.MIN_VALUE;
  }

  boolean penalized(long nowMs) {
    return nowMs < penaltyUntilMs;
  }
}
