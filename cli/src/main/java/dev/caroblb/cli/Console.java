package dev.caroblb.cli;

import java.io.PrintStream;

/** Where a subcommand prints: results to {@code out}, problems to {@code err}. */
record Console(PrintStream out, PrintStream err) {
  void print(String line) {
    out.println(line);
  }

  void printError(String line) {
    err.println("caroblb: " + line);
  }
}
