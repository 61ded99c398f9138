package dev.caroblb.configuration.teamfile;

/**
 * One error in a team file.
 *
 * @param file name of the file
 * @param line line of the error, counted from 1
 * @param key path of the key, empty when the text is not TOML
 * @param found the value found, or a description of it
 * @param allowed description of the allowed values
 * @param remedy how to correct the file
 */
public record TeamFileError(
    String file, int line, String key, String found, String allowed, String remedy) {
  private static final int MAX_FOUND_CHARS = 120;

  public TeamFileError {
    if (found.length() > MAX_FOUND_CHARS) {
      found = found.substring(0, MAX_FOUND_CHARS) + "...";
    }
  }

  /** The error as one human-readable line. */
  public String message() {
    String where = key.isEmpty() ? "" : " " + key + ":";
    return file
        + ":"
        + line
        + ":"
        + where
        + " found "
        + found
        + ", allowed: "
        + allowed
        + "; "
        + remedy;
  }
}
