package dev.caroblb.agreement;

/**
 * Takes a snapshot once no entry was committed for a while, where the state machine asks for it.
 */
final class IdleSnapshots {
  private final Applier applier;
  private final boolean wanted;
  private long commitIndex;
  private long sinceMs;

  IdleSnapshots(Applier applier, boolean wanted, long nowMs) {
    this.applier = applier;
    this.wanted = wanted;
    this.commitIndex = applier.commitIndex();
    this.sinceMs = nowMs;
  }

  /** Notes what was committed since the last call, and takes a snapshot when it is due. */
  void look(long nowMs) {
    if (!wanted) {
      return;
    }
    if (applier.commitIndex() != commitIndex) {
      commitIndex = applier.commitIndex();
      sinceMs = nowMs;
    }
    if (nowMs >= dueMs()) {
      applier.takeSnapshot();
    }
  }

  /** When a snapshot is due if nothing else is committed. */
  long dueMs() {
    boolean missing = wanted && applier.commandsSinceSnapshot();
    return missing ? sinceMs + Timing.IDLE_SNAPSHOT_MS : Long.MAX_VALUE;
  }
}
