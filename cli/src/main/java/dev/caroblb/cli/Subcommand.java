package dev.caroblb.cli;

/** One subcommand; its fields hold the parsed arguments. */
interface Subcommand {
  String name();

  /** Command lines that show typical use. */
  String examples();

  ExitCode run(Console console) throws InterruptedException;
}
