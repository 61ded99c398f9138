package dev.caroblb.configcheck;

/** Severity of a finding, from the most to the least severe. */
public enum Severity {
  /** The configuration has no effect or is refused. */
  ERROR,
  /** The configuration is accepted, but a part of it does not do what it says. */
  WARNING,
  /** For information. */
  INFO
}
