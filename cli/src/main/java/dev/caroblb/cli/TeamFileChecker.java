package dev.caroblb.cli;

import java.util.List;

/** Checks a team file as a publish would. */
@FunctionalInterface
interface TeamFileChecker {
  /** All mistakes in the file, each with its place and remedy; empty for a valid file. */
  List<String> errors(String name, String text);
}
