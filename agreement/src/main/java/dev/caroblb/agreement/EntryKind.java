package dev.caroblb.agreement;

/** Type of a log entry's payload. */
public enum EntryKind {
  /** Command for the state machine. */
  COMMAND,
  /** Member list that takes effect as soon as the entry is in the log. */
  MEMBERS,
  /** Empty entry that a new leader appends to commit the entries of earlier terms. */
  NO_OP
}
