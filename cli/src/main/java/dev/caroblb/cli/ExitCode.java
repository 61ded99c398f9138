package dev.caroblb.cli;

/** Exit codes of {@code caroblb}; scripts rely on them. */
enum ExitCode {
  DONE(0, "done"),
  REFUSED(1, "the answer is no: refused, conflict, mistakes in a file, or calls lost under load"),
  USAGE(2, "wrong arguments or unreadable input; nothing was sent"),
  UNKNOWN(3, "no entry answered in time; the outcome is unknown");

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
