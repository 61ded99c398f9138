package dev.caroblb.core;

/** What a caller may conclude about a call that did not complete. */
public enum RefusalKind {
  /** Nothing of the call ran; sending it again is safe. */
  NOT_RUN("not_run"),
  /** The call may have run; a call that must not repeat must be checked with its target. */
  OUTCOME_UNKNOWN("outcome_unknown"),
  /** The call ran and its answer ended early. */
  INTERRUPTED("interrupted");

  private final String wireName;

  RefusalKind(String wireName) {
    this.wireName = wireName;
  }

  public String wireName() {
    return wireName;
  }
}
