package dev.caroblb.agreement;

/** Takes a snapshot after a period without commits, if the state machine requests it. */
final class IdleSnapshots {
  private final Applier applier;
  private final boolean enabled;
  private long commitIndex;
  private long idleSinceMs;

  IdleSnapshots(Applier applier, boolean enabled, long nowMs) {
    this.applier = applier;
    this.enabled = enabled;
    this.commitIndex = applier.commitIndex();
    this.idleSinceMs = nowMs;
  }

  /**
   * Restarts the idle period if entries were committed since the last call, and takes a snapshot
   * when it is due.
   */
  void poll(long nowMs) {
    if (!enabled) {
      return;
    }
    if (applier.commitIndex() != commitIndex) {
      commitIndex = applier.commitIndex();
      idleSinceMs = nowMs;
    }
    if (nowMs >= dueMs()) {
      applier.takeSnapshot();
    }
  }

  /** Time at which a snapshot is due if nothing else is committed. */
  long dueMs() {
    boolean missing = enabled && applier.hasCommandsSinceSnapshot();
    return missing ? idleSinceMs + ConsensusConstants.IDLE_SNAPSHOT_DELAY_MS : Long.MAX_VALUE;
  }
}
