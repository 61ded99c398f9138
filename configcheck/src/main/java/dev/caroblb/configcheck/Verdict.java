package dev.caroblb.configcheck;

import java.util.List;

/** Overall result of a check, with the exit code of the process. */
public enum Verdict {
  /** Nothing was found but differences. */
  SOUND(0),
  /** At least one error was found. */
  ERRORS(1),
  /** Warnings, but no errors, were found. */
  WARNINGS(4);

  private final int exitCode;

  Verdict(int exitCode) {
    this.exitCode = exitCode;
  }

  public int exitCode() {
    return exitCode;
  }

  /** Returns the verdict on a complete list of findings. */
  public static Verdict of(List<Finding> findings) {
    if (findings.stream().anyMatch(finding -> finding.severity() == Severity.ERROR)) {
      return ERRORS;
    }
    return findings.stream().anyMatch(finding -> finding.severity() == Severity.WARNING)
        ? WARNINGS
        : SOUND;
  }
}
