package dev.caroblb.cli;

import java.io.PrintStream;

/** Output of a subcommand: results go to {@code out}, errors to {@code err}. */
record Console(PrintStream out, PrintStream err) {
  void print(String line) {
    out.println(line);
  }

  void printError(String line) {
    err.println("caroblb: " + line);
  }
}
