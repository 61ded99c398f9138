package dev.caroblb.configuration.teamfile;

/**
 * One mistake in a team file.
 *
 * @param file name of the file
 * @param line line of the mistake, counted from 1
 * @param key path of the key, empty when the text is not TOML
 * @param found the value found, or what the parser found
 * @param allowed the values allowed
 * @param remedy what the team has to change
 */
public record TeamFileError(
    String file, int line, String key, String found, String allowed, String remedy) {
  private static final int MAX_FOUND_CHARS = 120;

  public TeamFileError {
    if (found.length() > MAX_FOUND_CHARS) {
      found = found.substring(0, MAX_FOUND_CHARS) + "...";
    }
  }

  /** The mistake as one line for a person. */
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
