package dev.caroblb.core;

/** Whether a call that did not complete has run, which decides whether a retry is safe. */
public enum RefusalKind {
  /** No part of the call ran; sending it again is safe. */
  NOT_RUN("not_run"),
  /** The call may have run; check with the target before repeating one that must run once. */
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
