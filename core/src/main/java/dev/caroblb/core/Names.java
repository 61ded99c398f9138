package dev.caroblb.core;

import java.util.regex.Pattern;

/** Validates the names of instances, workspaces, targets and the like. */
public final class Names {
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9_-]{0,62}");

  private Names() {}

  /** Whether the text has 1 to 63 letters, digits, '-' or '_' and starts with a letter or digit. */
  public static boolean valid(String text) {
    return text != null && NAME.matcher(text).matches();
  }

  static String requireValid(String kind, String text) {
    if (!valid(text)) {
      throw new IllegalArgumentException(
          kind
              + " name \""
              + text
              + "\" is invalid; use 1 to 63 letters, digits, '-' or '_',"
              + " starting with a letter or digit");
    }
    return text;
  }
}
