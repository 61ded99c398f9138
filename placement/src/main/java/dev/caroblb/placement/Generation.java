package dev.caroblb.placement;

import dev.caroblb.core.WorkspaceId;

/** A call of this instance that runs at a target. */
public final class Generation {
  private final PlacementRequest request;
  private final Target target;
  private final long placedAtMs;
  private int tokens;
  private long progressAtMs;
  private int preemptions;
  private boolean suspended;

  Generation(PlacementRequest request, Target target, long nowMs) {
    this.request = request;
    this.target = target;
    this.placedAtMs = nowMs;
    this.progressAtMs = nowMs;
  }

  void progress(int newTokens, long nowMs) {
    tokens = newTokens;
    progressAtMs = nowMs;
    suspended = false;
  }

  void markPreempted() {
    preemptions++;
    suspended = true;
  }

  public PlacementRequest request() {
    return request;
  }

  public Target target() {
    return target;
  }

  public WorkspaceId workspace() {
    return request.workspace();
  }

  public long placedAtMs() {
    return placedAtMs;
  }

  /** Tokens produced so far. */
  public int tokens() {
    return tokens;
  }

  /** Time of the last token, or of the placement before the first one. */
  public long progressAtMs() {
    return progressAtMs;
  }

  public int preemptions() {
    return preemptions;
  }

  /** Whether the engine preempted the generation and has not continued it yet. */
  public boolean suspended() {
    return suspended;
  }

  /** Blocks of memory that the prompt and the tokens occupy. */
  int blocks() {
    return 1 + (request.prompt().tokens() + tokens) / PredictiveSettings.BLOCK_TOKENS;
  }
}
