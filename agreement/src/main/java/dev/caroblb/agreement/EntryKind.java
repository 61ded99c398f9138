package dev.caroblb.agreement;

/** What the payload of a log entry is. */
public enum EntryKind {
  /** Command of the state machine. */
  COMMAND,
  /** List of members that is in force from this entry on. */
  MEMBERS,
  /** Empty entry that a new leader appends to commit the entries of earlier terms. */
  NO_OP
}
