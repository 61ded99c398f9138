package dev.caroblb.cli;

import java.util.List;

/** Validates a team file by the rules of a publish. */
@FunctionalInterface
interface TeamFileChecker {
  /** Returns all errors in the file, each with its position and remedy; empty when it is valid. */
  List<String> errors(String name, String text);
}
