package dev.caroblb.settings;

import java.nio.file.Path;

/**
 * One mistake in a settings file.
 *
 * @param kind what is wrong
 * @param file the settings file
 * @param line line of the mistake, counted from 1
 * @param key key with the names of its tables, for example {@code limits.backlog}
 * @param found value found
 * @param allowed values allowed
 * @param remedy what to change
 */
public record SettingsError(
    Kind kind, Path file, int line, String key, String found, String allowed, String remedy) {
  /** Kinds of mistakes. */
  public enum Kind {
    UNREADABLE,
    SYNTAX,
    UNKNOWN_KEY,
    MISSING,
    WRONG_TYPE,
    NOT_ALLOWED,
    CONTRADICTION
  }

  /** The mistake on one line, for operators. */
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
