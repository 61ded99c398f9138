package dev.caroblb.configuration.teamfile;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Errors found in one team file. */
final class ErrorList {
  private final String file;
  private final boolean complete;
  private final List<TeamFileError> errors = new ArrayList<>();

  /**
   * Creates an empty list.
   *
   * @param complete whether the whole text was parsed; missing keys are reported only in that case
   */
  ErrorList(String file, boolean complete) {
    this.file = file;
    this.complete = complete;
  }

  void add(int line, String key, String found, String allowed, String remedy) {
    errors.add(new TeamFileError(file, line, key, found, allowed, remedy));
  }

  void addMissing(int line, String key, String allowed) {
    if (complete) {
      add(line, key, "no value", allowed, "add the key");
    }
  }

  boolean isEmpty() {
    return errors.isEmpty();
  }

  /** All errors, sorted by line. */
  List<TeamFileError> sorted() {
    List<TeamFileError> sorted = new ArrayList<>(errors);
    sorted.sort(Comparator.comparingInt(TeamFileError::line));
    return List.copyOf(sorted);
  }
}
