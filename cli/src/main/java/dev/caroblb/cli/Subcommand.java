package dev.caroblb.cli;

/** A subcommand; JCommander sets its annotated fields to the parsed arguments. */
interface Subcommand {
  String name();

  /** Returns a command line that shows typical use. */
  String example();

  ExitCode run(Console console) throws InterruptedException;
}
