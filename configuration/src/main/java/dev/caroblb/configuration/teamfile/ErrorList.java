package dev.caroblb.configuration.teamfile;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Mistakes found in one team file. */
final class ErrorList {
  private final String file;
  private final boolean complete;
  private final List<TeamFileError> errors = new ArrayList<>();

  /**
   * Creates an empty list.
   *
   * @param complete whether the whole text was parsed; keys count as missing only in this case
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

  /** All mistakes in the order of their lines. */
  List<TeamFileError> sorted() {
    List<TeamFileError> sorted = new ArrayList<>(errors);
    sorted.sort(Comparator.comparingInt(TeamFileError::line));
    return List.copyOf(sorted);
  }
}
