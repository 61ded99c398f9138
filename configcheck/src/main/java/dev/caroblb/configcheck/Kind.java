package dev.caroblb.configcheck;

/** Kind of a finding. */
public enum Kind {
  /** The instances refuse the configuration. */
  ERROR,
  /** An entry can never match or never takes effect. */
  UNREACHABLE,
  /** Values contradict each other. */
  CONTRADICTION,
  /** A difference from the version in force. */
  DIFFERENCE
}
