package dev.caroblb.forwarding;

/** What this instance knows of a target and has sent to it. */
final class Target {
  /** First time for which a target that failed gets no requests while others can take them. */
  private static final long MIN_PENALTY_MS = 250;

  private static final long MAX_PENALTY_MS = 4_000;

  private final TargetInfo info;
  private boolean leaving;
  private long leavingSinceMs;
  private int running;
  private long tokens;
  private long unreadTokens;
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

  long leavingSinceMs() {
    return leavingSinceMs;
  }

  void leave(long nowMs) {
    leaving = true;
    leavingSinceMs = nowMs;
  }

  int running() {
    return running;
  }

  /** Whether generations of this instance run here or have memory set aside. */
  boolean holdsTokens() {
    return tokens > 0;
  }

  /** Work of this instance at the target. */
  TargetWork work() {
    return new TargetWork(info.id(), info.incarnation(), running, tokens, unreadTokens);
  }

  void started(long expectedTokens, long promptTokens) {
    running++;
    tokens += expectedTokens;
    unreadTokens += promptTokens;
  }

  /** The prompt of a request was read. */
  void read(long promptTokens) {
    unreadTokens -= promptTokens;
  }

  /** Sets memory aside for a generation that is being moved here; negative to give it back. */
  void reserve(long expectedTokens) {
    tokens += expectedTokens;
  }

  void ended(long expectedTokens) {
    running--;
    tokens -= expectedTokens;
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
