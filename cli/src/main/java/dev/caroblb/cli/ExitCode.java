package dev.caroblb.cli;

/** Exit codes of {@code caroblb}; scripts rely on them. */
enum ExitCode {
  DONE(0, "done"),
  REFUSED(1, "refused, conflict, invalid file, or calls of a load run lost, wrong or unfinished"),
  USAGE(2, "invalid arguments or input files; nothing was sent"),
  UNKNOWN(3, "no entry answered in time; the outcome is unknown"),
  WARNINGS(4, "a checked file is valid, but has warnings");

  private final int code;
  private final String meaning;

  ExitCode(int code, String meaning) {
    this.code = code;
    this.meaning = meaning;
  }

  int code() {
    return code;
  }

  String meaning() {
    return meaning;
  }
}
