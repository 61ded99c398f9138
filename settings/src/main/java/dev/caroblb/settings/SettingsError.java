package dev.caroblb.settings;

import java.nio.file.Path;

/**
 * One error in a settings file.
 *
 * @param kind kind of the error
 * @param file the settings file
 * @param line line of the error, counted from 1
 * @param key key, prefixed with the names of its tables, for example {@code limits.backlog}
 * @param found the value found, or a description of it
 * @param allowed description of the allowed values
 * @param remedy how to correct the file
 */
public record SettingsError(
    Kind kind, Path file, int line, String key, String found, String allowed, String remedy) {
  /** Kinds of errors. */
  public enum Kind {
    UNREADABLE,
    SYNTAX,
    UNKNOWN_KEY,
    MISSING,
    WRONG_TYPE,
    NOT_ALLOWED,
    CONTRADICTION
  }

  /** The error as one line, for operators. */
  public String message() {
    String subject = key.isEmpty() ? "" : " key \"" + key + "\":";
    return file
        + ":"
        + line
        + ":"
        + subject
        + " found "
        + found
        + ", allowed: "
        + allowed
        + "; "
        + remedy;
  }

  @Override
  public String toString() {
    return message();
  }
}
